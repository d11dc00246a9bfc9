import { describe, expect, it } from 'vitest';
import { OutlierEjection, type ReplicaProcess } from '../../src/policies/outlier-ejection.js';
import { ManualClock } from '../support/manual-clock.js';

const A: ReplicaProcess = { replicaId: 'a', incarnation: 1 };
const B: ReplicaProcess = { replicaId: 'b', incarnation: 1 };
const REPLICAS = [A, B, { ...A, replicaId: 'c' }, { ...A, replicaId: 'd' }];

function createEjection(clock: ManualClock): OutlierEjection {
  const ejection = new OutlierEjection(clock);
  for (const replica of REPLICAS) ejection.recordSuccess(replica);
  return ejection;
}

function fail(ejection: OutlierEjection, replica: ReplicaProcess, times: number): void {
  for (let time = 0; time < times; time += 1) ejection.recordFailure(replica);
}

describe('OutlierEjection', () => {
  it('ejects a replica for a limited time after consecutive failures only', () => {
    const clock = new ManualClock();
    const ejection = createEjection(clock);
    fail(ejection, A, 2);
    ejection.recordSuccess(A);
    fail(ejection, A, 2);
    expect(ejection.isEjected(A)).toBe(false);
    fail(ejection, A, 1);
    expect(ejection.isEjected(A)).toBe(true);
    clock.advance(1_000);
    expect(ejection.isEjected(A)).toBe(false);
  });

  it('ejects a replica for longer when its first attempt after an ejection fails', () => {
    const clock = new ManualClock();
    const ejection = createEjection(clock);
    fail(ejection, A, 3);
    clock.advance(1_000);
    fail(ejection, A, 1);
    clock.advance(1_999);
    expect(ejection.isEjected(A)).toBe(true);
  });

  it('starts without recorded failures for a new incarnation of a replica', () => {
    const ejection = createEjection(new ManualClock());
    fail(ejection, A, 3);
    expect(ejection.isEjected({ ...A, incarnation: 2 })).toBe(false);
    fail(ejection, { ...A, incarnation: 2 }, 2);
    expect(ejection.isEjected({ ...A, incarnation: 2 })).toBe(false);
  });

  it('never ejects more than half of the replicas', () => {
    const ejection = createEjection(new ManualClock());
    for (const replica of REPLICAS) fail(ejection, replica, 10);
    expect(REPLICAS.filter((replica) => ejection.isEjected(replica))).toEqual([A, B]);
  });
});
