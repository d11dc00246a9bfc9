import { beforeEach, describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { LivenessReport, ReplicaState } from '../../src/model/liveness-report.js';
import { setMembers, TestController } from './controller-fixture.js';
import { TestDaemon } from './daemon-fixture.js';

const SEED = 4;
/** Promise 6 allows a few seconds in total, of which the stream takes less than one. */
const SETTLE_MS = 1_000;

let simulation: Simulation;
let own: TestController;
let other: TestController;
/** In the same zone as `sameZoneDaemon`, but following another controller. */
let observer: TestDaemon;
let sameZoneDaemon: TestDaemon;
/** In another zone than the other two daemons. */
let otherZoneDaemon: TestDaemon;

function livenessReport(incarnation: number, state: ReplicaState): LivenessReport {
  return { replicaId: 'replica-1', incarnation, state, observedBy: 'router-1' };
}

beforeEach(async () => {
  simulation = new Simulation(SEED);
  own = await start('controller-1', 'asahikawa-a');
  other = await start('controller-2', 'nayoro');
  setMembers([own, other]);
  observer = new TestDaemon(simulation.createMachine('router-1', 'asahikawa-a'), [own, other]);
  sameZoneDaemon = new TestDaemon(simulation.createMachine('router-2', 'asahikawa-a'), [other]);
  otherZoneDaemon = new TestDaemon(simulation.createMachine('router-3', 'nayoro'), [own, other]);
  await simulation.runFor(3_000);
});

function start(name: string, zone: string): Promise<TestController> {
  return simulation.settle(TestController.start(simulation.createMachine(name, zone)));
}

describe('liveness reports', () => {
  it('of draining, which a back end states itself, reach daemons of all zones and controllers', async () => {
    observer.client.reportReplicaState(livenessReport(1, 'draining'));
    await simulation.runFor(SETTLE_MS);
    expect(sameZoneDaemon.livenessReports).toEqual([livenessReport(1, 'draining')]);
    expect(otherZoneDaemon.livenessReports).toEqual([livenessReport(1, 'draining')]);
  });

  it('that a replica is gone reach only daemons in the zone of the observer', async () => {
    observer.client.reportReplicaState(livenessReport(1, 'gone'));
    await simulation.runFor(SETTLE_MS);
    expect(sameZoneDaemon.livenessReports).toEqual([livenessReport(1, 'gone')]);
    expect(otherZoneDaemon.livenessReports).toEqual([]);
  });

  it('never replace newer ones, whichever daemon sends them, even after a restart', async () => {
    observer.client.reportReplicaState(livenessReport(2, 'draining'));
    await simulation.runFor(SETTLE_MS);
    sameZoneDaemon.client.reportReplicaState(livenessReport(2, 'live'));
    otherZoneDaemon.client.reportReplicaState(livenessReport(1, 'live'));
    await simulation.runFor(SETTLE_MS);
    sameZoneDaemon.host.restart({ keepDisk: false });
    const restarted = new TestDaemon(sameZoneDaemon.host, [other]);
    await simulation.runFor(SETTLE_MS);
    expect(restarted.livenessReports).toEqual([livenessReport(2, 'draining')]);
    expect(sameZoneDaemon.livenessReports).toEqual([livenessReport(2, 'draining')]);
    observer.client.reportReplicaState(livenessReport(3, 'live'));
    await simulation.runFor(SETTLE_MS);
    expect(restarted.livenessReports).toEqual([
      livenessReport(2, 'draining'),
      livenessReport(3, 'live'),
    ]);
  });

  it('reach a controller within seconds after a long partition has healed', async () => {
    const machines = [{ machine: 'controller-1' }, { machine: 'controller-2' }] as const;
    simulation.cut({ from: machines[0], to: machines[1] });
    simulation.cut({ from: machines[1], to: machines[0] });
    await simulation.runFor(600_000);
    simulation.healAll();
    observer.client.reportReplicaState(livenessReport(1, 'draining'));
    await simulation.runFor(7_000);
    expect(sameZoneDaemon.livenessReports).toEqual([livenessReport(1, 'draining')]);
  });

  it('are forwarded by a third controller while two are partitioned from each other', async () => {
    const third = await start('controller-3', 'wakkanai');
    setMembers([own, other, third]);
    await simulation.runFor(SETTLE_MS * 3);
    const machines = [{ machine: 'controller-1' }, { machine: 'controller-2' }] as const;
    simulation.cut({ from: machines[0], to: machines[1] });
    simulation.cut({ from: machines[1], to: machines[0] });
    observer.client.reportReplicaState(livenessReport(1, 'draining'));
    await simulation.runFor(SETTLE_MS);
    expect(sameZoneDaemon.livenessReports).toEqual([livenessReport(1, 'draining')]);
  });
});
