import { beforeEach, describe, expect, it } from 'vitest';
import { PlatformList } from '../../lab/platform/platform-list.js';
import { observe } from '../../src/control-stream/observe.js';
import type { LivenessReport } from '../../src/model/liveness-report.js';
import {
  ControllerGroup,
  ELECTION_MS,
  IN_FORCE_WITHIN_MS,
  PLATFORM_PORT,
  ZONES,
} from './controller-group.js';

let group: ControllerGroup;

beforeEach(async () => {
  group = await ControllerGroup.start();
});

describe('a group of controllers', () => {
  it('puts a change accepted by any controller in force everywhere, as each of them reports', async () => {
    const { hosts, simulation } = group;
    const daemons = ZONES.map((zone, index) => group.startDaemon(`router-${index + 1}`, zone));
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    for (const index of hosts.keys()) await group.accept(index, index + 1);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemons.map(({ revision }) => revision)).toEqual([3, 3, 3]);
    expect(daemons.map(({ client }) => client.source)).toEqual(hosts.map(({ name }) => name));
    for (const index of hosts.keys()) {
      const { force } = await group.changeReport(index, 3);
      expect(force).toEqual({ revision: 3, daemons: 3, inForce: 3, late: [] });
    }
  });

  it.each([0, 1, 2])(
    'keeps daemons up to date while controller %i is silently partitioned',
    async (index) => {
      const { simulation } = group;
      const cut = group.hostAt(index);
      const daemon = group.startDaemon('router-1', cut.zone);
      await simulation.runFor(IN_FORCE_WITHIN_MS);
      expect(daemon.client.source).toBe(cut.name);
      group.cutMachine(cut);
      await simulation.runFor(IN_FORCE_WITHIN_MS);
      await group.accept((index + 1) % ZONES.length, 1);
      await simulation.runFor(IN_FORCE_WITHIN_MS);
      expect(daemon.revisions).toEqual([0, 1]);
      expect(daemon.fresh).toBe(true);
      simulation.healAll();
      await simulation.runFor(60_000);
      expect(daemon.client.source).toBe(cut.name);
      await group.accept(index, 2);
      await simulation.runFor(IN_FORCE_WITHIN_MS);
      expect(daemon.revisions).toEqual([0, 1, 2]);
    },
  );

  it('restarts with the last accepted revision after all controllers are killed', async () => {
    const { hosts, simulation } = group;
    const daemon = group.startDaemon('router-1', 'nayoro');
    for (let revision = 1; revision <= 20; revision += 1) await group.accept(1, revision);
    for (const host of hosts) host.restart({ keepDisk: true });
    for (const index of hosts.keys()) await group.startController(index);
    await simulation.runFor(ELECTION_MS + IN_FORCE_WITHIN_MS);
    expect(daemon.revision).toBe(20);
    const late = group.startDaemon('router-2', 'wakkanai');
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(late.client.current()).toEqual(daemon.client.current());
  });

  it('moves daemons to another controller on a planned stop without their becoming stale', async () => {
    const { simulation } = group;
    const daemon = group.startDaemon('router-1', 'nayoro');
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    const stopped = group.controllers[1] ?? expect.fail('no controller');
    let stale = false;
    const stopping = stopped.stop();
    for (let checks = 0; checks < 100; checks += 1) {
      await simulation.runFor(50);
      stale ||= !daemon.fresh;
    }
    await simulation.settle(stopping);
    expect(stale).toBe(false);
    expect(daemon.client.source).not.toBe(group.hostAt(1).name);
    await group.accept(0, 1);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemon.revision).toBe(1);
  });

  it("streams changes in the platform's machine list to daemons as liveness reports", async () => {
    const { operator, simulation } = group;
    const list = await simulation.settle(
      PlatformList.start(operator.environment, {
        address: { host: operator.host, port: PLATFORM_PORT },
        lag: 0,
      }),
    );
    const { client } = group.startDaemon('router-1', 'nayoro');
    const reports: LivenessReport[] = [];
    observe(client.livenessReports, (report) => reports.push(report));
    const machine = { replicaId: 'replica-1', incarnation: 1 };
    for (const state of ['live', 'draining', 'live', 'gone'] as const) {
      list.set({ ...machine, state });
      await simulation.runFor(3_000);
    }
    expect(reports.map(({ state }) => state)).toEqual(['live', 'draining', 'gone']);
    expect(new Set(reports.map(({ observedBy }) => observedBy))).toEqual(new Set(['platform']));
  });
});
