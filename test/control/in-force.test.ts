import { describe, expect, it } from 'vitest';
import type { ControlStreamFaults } from '../../src/control-stream/control-stream-faults.js';
import { DAEMON_LEASE_MS } from '../../src/control-stream/daemon-directory.js';
import { formatStatus } from '../../src/operator/format-status.js';
import { ControllerGroup, ELECTION_MS, IN_FORCE_WITHIN_MS, ZONES } from './controller-group.js';

/** Runs once without defects, and once with the defect that it has to detect. */
type Scenario = (faults: ControlStreamFaults) => Promise<unknown>;

/** Revisions of a daemon whose controller receives from the leader but cannot write to its disk. */
const hangingDisk: Scenario = async (faults) => {
  const group = await ControllerGroup.start(faults);
  const leader = await group.leaderIndex();
  const slow = group.hostAt((leader + 1) % ZONES.length);
  const daemon = group.startDaemon('router-1', slow.zone);
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  slow.volume.faults.slowness = 1e9;
  await group.accept(leader, 1);
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  return daemon.revisions;
};

/** Revisions of a daemon that restarts when it can reach only a stale, partitioned controller. */
const restartBesideStaleController: Scenario = async (faults) => {
  const group = await ControllerGroup.start(faults);
  const daemon = group.startDaemon('router-1', 'nayoro');
  group.cutMachine(group.hostAt(1));
  await group.simulation.runFor(ELECTION_MS);
  await group.accept(0, 1);
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  expect(daemon.revision).toBe(1);
  group.cutZone('nayoro');
  const restarted = daemon.restarted();
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  const whileCut = [...restarted.revisions];
  group.simulation.healAll();
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  return { whileCut, afterwards: restarted.revision };
};

/** Revisions of a daemon whose controller is silently partitioned. */
const isolatedController: Scenario = async (faults) => {
  const group = await ControllerGroup.start(faults);
  const daemon = group.startDaemon('router-1', 'nayoro');
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  group.cutMachine(group.hostAt(1));
  group.simulation.cut({ from: { machine: 'controller-2' }, to: { machine: 'router-1' } });
  await group.simulation.runFor(ELECTION_MS);
  await group.accept(0, 1);
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  return daemon.revisions;
};

/** Number of daemons, of nine, that follow a controller of another zone. */
const daemonsFollowingOtherZones: Scenario = async (faults) => {
  const group = await ControllerGroup.start(faults);
  const daemons = Array.from({ length: 9 }, (_, index) =>
    group.startDaemon(`router-${index}`, ZONES[index % ZONES.length] as string),
  );
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  const inOwnZone = daemons.filter(({ host, client }) =>
    group.hosts.some(({ name, zone }) => name === client.source && zone === host.zone),
  );
  return daemons.length - inOwnZone.length;
};

/**
 * Reports of each remaining controller on late daemons, long after one daemon fell silent and the
 * leader crashed.
 */
const lateDaemonsAfterLeaderCrash: Scenario = async (faults) => {
  const group = await ControllerGroup.start(faults);
  const daemons = ZONES.map((zone, index) => group.startDaemon(`router-${index + 1}`, zone));
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  daemons[2]?.host.freeze(600_000);
  const leader = await group.leaderIndex();
  group.hostAt(leader).crash({ power: true });
  await group.simulation.runFor(DAEMON_LEASE_MS + ELECTION_MS);
  const remaining = [...ZONES.keys()].filter((index) => index !== leader);
  await group.accept(remaining[0] as number, 1);
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  const reports = [];
  for (const index of remaining) {
    const { force } = await group.changeReport(index, 1);
    const late = force?.late.map(({ name, revision, zone }) => ({ name, revision, zone }));
    reports.push({ inForce: force?.inForce, daemons: force?.daemons, late });
  }
  return reports;
};

/**
 * Liveness reports a daemon gets of a replica on whose earlier incarnation another router reports.
 */
const reportsOfTwoIncarnations: Scenario = async (faults) => {
  const group = await ControllerGroup.start(faults);
  const [first, second, third] = [1, 2, 3].map((number) =>
    group.startDaemon(`router-${number}`, 'nayoro'),
  );
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  const report = { replicaId: 'replica-1', observedBy: 'router' };
  first?.client.reportReplicaState({ ...report, incarnation: 2, state: 'draining' });
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  second?.client.reportReplicaState({ ...report, incarnation: 1, state: 'gone' });
  second?.client.reportReplicaState({ ...report, incarnation: 2, state: 'live' });
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
  return third?.livenessReports.map(({ incarnation, state }) => `${incarnation} ${state}`);
};

const ROUTER_3 = { name: 'router-3', revision: 0, zone: 'wakkanai' };
const COMPLETE_REPORT = { inForce: 2, daemons: 3, late: [ROUTER_3] };
const REPORT_WITHOUT_SILENT_DAEMON = { inForce: 2, daemons: 2, late: [] };

/** Title, scenario, result without faults, defect, and result with the defect. */
type DefectCase = [string, Scenario, unknown, ControlStreamFaults, unknown];

describe('an accepted change', () => {
  const cases: DefectCase[] = [
    [
      'is in force at daemons whose controller cannot write',
      hangingDisk,
      [0, 1],
      { ignoreApplyLag: true },
      [0],
    ],
    [
      'is not reverted at a daemon that restarts next to a partitioned controller',
      restartBesideStaleController,
      { whileCut: [], afterwards: 1 },
      { skipFreshnessProof: true },
      { whileCut: [0], afterwards: 1 },
    ],
    [
      'is in force at daemons whose controller is partitioned',
      isolatedController,
      [0, 1],
      { neverLeave: true },
      [0],
    ],
    [
      'reaches each daemon from a controller of its own zone',
      daemonsFollowingOtherZones,
      0,
      { ignoreZone: true },
      3,
    ],
    [
      'is reported by every controller as late at a silent daemon',
      lateDaemonsAfterLeaderCrash,
      [COMPLETE_REPORT, COMPLETE_REPORT],
      { forgetSilentDaemons: true },
      [REPORT_WITHOUT_SILENT_DAEMON, REPORT_WITHOUT_SILENT_DAEMON],
    ],
  ];
  it.each(cases)('%s', async (_name, scenario, expected, faults, found) => {
    expect(await scenario({})).toEqual(expected);
    expect(await scenario(faults)).toEqual(found);
  });

  it('is reported completely by controllers only if controllers share the reports of daemons', async () => {
    expect(await lateDaemonsAfterLeaderCrash({ withholdReports: true })).not.toEqual([
      COMPLETE_REPORT,
      COMPLETE_REPORT,
    ]);
  });
});

describe('a liveness report of a replica', () => {
  it('never overrides a newer report', async () => {
    expect(await reportsOfTwoIncarnations({})).toEqual(['2 draining']);
    const found = await reportsOfTwoIncarnations({ acceptOlderSigns: true });
    expect(found).toContain('1 gone');
  });
});

describe('a controller that lacks committed entries', () => {
  it('reports that it is not ready until it has applied them', async () => {
    const group = await ControllerGroup.start();
    const slow = group.hostAt(((await group.leaderIndex()) + 1) % ZONES.length);
    expect(await group.request(slow, '/readyz')).toEqual({ ready: true });
    slow.volume.faults.slowness = 1e6;
    await group.accept(await group.leaderIndex(), 1);
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    await expect(group.request(slow, '/readyz')).rejects.toThrow(/"reason":"lacks what/);
    slow.volume.faults.slowness = 1;
    await group.simulation.runFor(600_000);
    expect(await group.request(slow, '/readyz')).toEqual({ ready: true });
  });
});

describe('the cluster status', () => {
  it('shows leader, lag, members, daemons and versions', async () => {
    const group = await ControllerGroup.start();
    group.startDaemon('router-1', 'nayoro');
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    const leader = await group.leaderIndex();
    const text = formatStatus(await group.status(leader));
    const { name } = group.hostAt(leader);
    expect(text).toMatch(new RegExp(`^Leader: ${name}, term \\d+. Revision 0.$`, 'm'));
    for (const { name: member, host } of group.hosts) {
      const role = member === name ? 'leader' : 'voter';
      expect(text).toMatch(new RegExp(`^${member} +${role} +${host}:7500 +up to date`, 'm'));
    }
    expect(text).toMatch(/^router-1 +nayoro +0\.1\.0 +0 +\d+ ms ago$/m);
    expect(text).toContain('in force at 1 of 1 daemons');
  });
});
