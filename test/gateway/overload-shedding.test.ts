import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { OverloadShedding } from '../../src/gateway/overload-shedding.js';
import type { ReportedLoad } from '../../src/gateway/reported-load.js';

const SET = 'shard-a';
const BUSY: ReportedLoad = { running: 2, waiting: 6, slots: 2, workFactor: 1, at: 0 };
const CALM: ReportedLoad = { running: 1, waiting: 0, slots: 2, workFactor: 1, at: 0 };

function create(): OverloadShedding {
  return new OverloadShedding(seededRandom(5, 'shedding'));
}

function admittedOf(shedding: OverloadShedding, priority: number): number {
  let admitted = 0;
  for (let index = 0; index < 2_000; index += 1) {
    if (shedding.admits(SET, priority)) admitted += 1;
  }
  return admitted / 2_000;
}

function report(shedding: OverloadShedding, busyOfTen: number, reports: number): void {
  for (let index = 0; index < reports; index += 1) {
    shedding.recordLoad(SET, index % 10 < busyOfTen ? BUSY : CALM);
  }
}

describe('OverloadShedding', () => {
  it('admits everything while only a few replicas have queues', () => {
    const shedding = create();
    report(shedding, 2, 5_000);
    expect(admittedOf(shedding, 0)).toBe(1);
  });

  it('refuses a part while most replicas have queues, the less urgent a little more', () => {
    const shedding = create();
    report(shedding, 9, 400);
    const urgent = admittedOf(shedding, 0);
    expect(urgent).toBeLessThan(0.75);
    expect(urgent).toBeGreaterThan(0.3);
    expect(admittedOf(shedding, 2)).toBeLessThan(urgent);
  });

  it('never refuses everything, and admits all again once queues are gone', () => {
    const shedding = create();
    report(shedding, 10, 50_000);
    expect(admittedOf(shedding, 0)).toBeGreaterThan(0.2);
    report(shedding, 0, 2_000);
    expect(admittedOf(shedding, 2)).toBe(1);
  });
});
