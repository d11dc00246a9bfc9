import { beforeEach, describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { ReplicaSign, ReplicaState } from '../../src/model/replica-sign.js';
import { introduce, TestController } from './controller-fixture.js';
import { TestDaemon } from './daemon-fixture.js';

const SEED = 4;
/** Promise 6 leaves a few seconds in all; the stream takes less than one. */
const SETTLE_MS = 1_000;

let simulation: Simulation;
let own: TestController;
let other: TestController;
/** Of one zone, at two controllers. */
let observer: TestDaemon;
let neighbour: TestDaemon;
/** Of another zone. */
let distant: TestDaemon;

function sign(incarnation: number, state: ReplicaState): ReplicaSign {
  return { replicaId: 'replica-1', incarnation, state, observedBy: 'router-1' };
}

beforeEach(async () => {
  simulation = new Simulation(SEED);
  own = await start('controller-1', 'asahikawa-a');
  other = await start('controller-2', 'nayoro');
  introduce([own, other]);
  observer = new TestDaemon(simulation.createMachine('router-1', 'asahikawa-a'), [own, other]);
  neighbour = new TestDaemon(simulation.createMachine('router-2', 'asahikawa-a'), [other]);
  distant = new TestDaemon(simulation.createMachine('router-3', 'nayoro'), [own, other]);
  await simulation.runFor(3_000);
});

function start(name: string, zone: string): Promise<TestController> {
  return simulation.settle(TestController.start(simulation.createMachine(name, zone)));
}

describe('signs of replicas', () => {
  it('reach daemons at other controllers; a back end says itself that it drains', async () => {
    observer.client.reportReplicaSign(sign(1, 'draining'));
    await simulation.runFor(SETTLE_MS);
    expect(neighbour.signs).toEqual([sign(1, 'draining')]);
    expect(distant.signs).toEqual([sign(1, 'draining')]);
  });

  it('that a replica is gone stay in the zone that finds it so', async () => {
    observer.client.reportReplicaSign(sign(1, 'gone'));
    await simulation.runFor(SETTLE_MS);
    expect(neighbour.signs).toEqual([sign(1, 'gone')]);
    expect(distant.signs).toEqual([]);
  });

  it('never override newer ones, whoever gives them and after any restart', async () => {
    observer.client.reportReplicaSign(sign(2, 'draining'));
    await simulation.runFor(SETTLE_MS);
    neighbour.client.reportReplicaSign(sign(2, 'live'));
    distant.client.reportReplicaSign(sign(1, 'live'));
    await simulation.runFor(SETTLE_MS);
    neighbour.host.restart({ keepDisk: false });
    const restarted = new TestDaemon(neighbour.host, [other]);
    await simulation.runFor(SETTLE_MS);
    expect(restarted.signs).toEqual([sign(2, 'draining')]);
    expect(neighbour.signs).toEqual([sign(2, 'draining')]);
    observer.client.reportReplicaSign(sign(3, 'live'));
    await simulation.runFor(SETTLE_MS);
    expect(restarted.signs).toEqual([sign(2, 'draining'), sign(3, 'live')]);
  });

  it('reach a controller again within seconds after it was out of reach for long', async () => {
    const machines = [{ machine: 'controller-1' }, { machine: 'controller-2' }] as const;
    simulation.cut({ from: machines[0], to: machines[1] });
    simulation.cut({ from: machines[1], to: machines[0] });
    await simulation.runFor(600_000);
    simulation.healAll();
    observer.client.reportReplicaSign(sign(1, 'draining'));
    await simulation.runFor(7_000);
    expect(neighbour.signs).toEqual([sign(1, 'draining')]);
  });

  it('pass through a third controller while two are cut off from each other', async () => {
    const third = await start('controller-3', 'wakkanai');
    introduce([own, other, third]);
    await simulation.runFor(SETTLE_MS * 3);
    const machines = [{ machine: 'controller-1' }, { machine: 'controller-2' }] as const;
    simulation.cut({ from: machines[0], to: machines[1] });
    simulation.cut({ from: machines[1], to: machines[0] });
    observer.client.reportReplicaSign(sign(1, 'draining'));
    await simulation.runFor(SETTLE_MS);
    expect(neighbour.signs).toEqual([sign(1, 'draining')]);
  });
});
