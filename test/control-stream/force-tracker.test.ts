import { beforeEach, describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { setMembers, TestController } from './controller-fixture.js';
import { TestDaemon } from './daemon-fixture.js';

const SEED = 4;
const SETTLE_MS = 3_000;
const SUPERSEDED = 'driftway_control_stream_superseded_reports_total';

let simulation: Simulation;
let controllers: TestController[];

beforeEach(async () => {
  simulation = new Simulation(SEED);
  controllers = [];
  for (const [index, zone] of ['asahikawa-a', 'nayoro', 'wakkanai'].entries()) {
    const host = simulation.createMachine(`controller-${index + 1}`, zone);
    controllers.push(await simulation.settle(TestController.start(host)));
  }
  setMembers(controllers);
});

function startDaemon(name: string, zone: string): TestDaemon {
  return new TestDaemon(simulation.createMachine(name, zone), controllers);
}

/** Revision of each daemon by name, as each controller reports it. */
function reports(): Record<string, number>[] {
  return controllers.map(({ daemons }) => {
    const entries = daemons.inForce(0).daemons.map(({ name, revision }) => [name, revision]);
    return Object.fromEntries(entries) as Record<string, number>;
  });
}

function acceptEverywhere(revision: number): void {
  for (const controller of controllers) controller.acceptUpTo(revision);
}

describe('revisions in force', () => {
  it('are known at every controller, including that of a late daemon', async () => {
    startDaemon('router-1', 'asahikawa-a');
    const late = startDaemon('router-2', 'nayoro');
    await simulation.runFor(SETTLE_MS);
    late.host.freeze(60_000);
    acceptEverywhere(2);
    await simulation.runFor(SETTLE_MS);
    expect(reports()).toEqual(Array(3).fill({ 'router-1': 2, 'router-2': 0 }));
  });

  it('exclude a daemon that made a planned stop, but include a lost one', async () => {
    const stopped = startDaemon('router-1', 'asahikawa-a');
    const lost = startDaemon('router-2', 'nayoro');
    await simulation.runFor(SETTLE_MS);
    await simulation.settle(stopped.client.close());
    lost.host.crash({ power: true });
    await simulation.runFor(30_000);
    expect(reports()).toEqual(Array(3).fill({ 'router-2': 0 }));
  });

  it('include a daemon that was unreachable for an hour, since it may still be serving', async () => {
    const cutOff = startDaemon('router-1', 'nayoro');
    await simulation.runFor(SETTLE_MS);
    cutOff.host.crash({ power: true });
    await simulation.runFor(3_600_000);
    expect(reports()).toEqual(Array(3).fill({ 'router-1': 0 }));
  });

  it('are those of the newest process, even if its clock was set back', async () => {
    acceptEverywhere(1);
    const daemon = startDaemon('router-1', 'asahikawa-a');
    await simulation.runFor(SETTLE_MS);
    daemon.host.skew(-86_400_000);
    daemon.host.restart({ keepDisk: false });
    const restarted = new TestDaemon(daemon.host, controllers);
    acceptEverywhere(2);
    await simulation.runFor(SETTLE_MS);
    expect(restarted.revision).toBe(2);
    expect(reports()).toEqual(Array(3).fill({ 'router-1': 2 }));
  });

  it('are forwarded by a third controller while two are partitioned from each other', async () => {
    const machines = [{ machine: 'controller-1' }, { machine: 'controller-2' }] as const;
    simulation.cut({ from: machines[0], to: machines[1] });
    simulation.cut({ from: machines[1], to: machines[0] });
    startDaemon('router-1', 'asahikawa-a');
    await simulation.runFor(20_000);
    acceptEverywhere(1);
    await simulation.runFor(SETTLE_MS);
    expect(reports()).toEqual(Array(3).fill({ 'router-1': 1 }));
    simulation.healAll();
    await simulation.runFor(20_000);
    acceptEverywhere(2);
    await simulation.runFor(SETTLE_MS);
    expect(reports()).toEqual(Array(3).fill({ 'router-1': 2 }));
  });

  it('reported before a partition is detected are forwarded by a third controller', async () => {
    const daemon = startDaemon('router-1', 'asahikawa-a');
    await simulation.runFor(SETTLE_MS);
    const machines = [{ machine: 'controller-1' }, { machine: 'controller-2' }] as const;
    simulation.cut({ from: machines[0], to: machines[1] });
    simulation.cut({ from: machines[1], to: machines[0] });
    acceptEverywhere(1);
    await simulation.runFor(1_000);
    daemon.host.crash({ power: true });
    await simulation.runFor(20_000);
    expect(reports()).toEqual(Array(3).fill({ 'router-1': 1 }));
  });

  it('reported by two daemons of the same name increment the counter of superseded reports', async () => {
    const counted = async (): Promise<number> => {
      const counts = controllers.map((controller) => controller.counter(SUPERSEDED));
      return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
    };
    const first = startDaemon('router-1', 'asahikawa-a');
    await simulation.runFor(SETTLE_MS);
    expect(await counted()).toBe(0);
    const host = simulation.createMachine('another', 'nayoro');
    new TestDaemon(host, controllers, { name: first.host.name });
    await simulation.runFor(SETTLE_MS);
    expect(await counted()).toBeGreaterThan(0);
  });

  it('do not decrease when an older report arrives later by another path', () => {
    const [controller] = controllers;
    const report = { name: 'router-1', zone: 'nayoro', version: '1', incarnation: 7, left: false };
    const daemons = controller?.daemons ?? expect.fail('no controller');
    daemons.record({ ...report, sequence: 2, revision: 5, controller: 'controller-1' });
    daemons.record({ ...report, sequence: 1, revision: 4, controller: 'controller-2' });
    expect(reports()[0]).toEqual({ 'router-1': 5 });
  });

  it('are sent again to a controller that was restarted', async () => {
    startDaemon('router-1', 'asahikawa-a');
    await simulation.runFor(SETTLE_MS);
    const [, second] = controllers;
    second?.host.restart({ keepDisk: true });
    if (second !== undefined) {
      controllers[1] = await simulation.settle(TestController.start(second.host));
    }
    setMembers(controllers);
    await simulation.runFor(10_000);
    expect(reports()[1]).toEqual({ 'router-1': 0 });
  });
});
