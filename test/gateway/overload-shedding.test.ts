import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { OverloadShedding } from '../../src/gateway/overload-shedding.js';
import type { ReportedLoad } from '../../src/gateway/reported-load.js';
import { ManualClock } from '../support/manual-clock.js';

const SET = 'shard-a';
const BUSY: ReportedLoad = { running: 2, waiting: 6, slots: 2, workFactor: 1, at: 0 };
const CALM: ReportedLoad = { running: 1, waiting: 0, slots: 2, workFactor: 1, at: 0 };

function create(clock = new ManualClock()): OverloadShedding {
  return new OverloadShedding(clock, seededRandom(5, 'shedding'));
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
  it('admits all requests while only a few replicas have queues', () => {
    const shedding = create();
    report(shedding, 2, 5_000);
    expect(admittedOf(shedding, 0)).toBe(1);
  });

  it('refuses some requests while most replicas have queues, less urgent ones more often', () => {
    const shedding = create();
    report(shedding, 9, 400);
    const urgent = admittedOf(shedding, 0);
    expect(urgent).toBeLessThan(0.75);
    expect(urgent).toBeGreaterThan(0.3);
    expect(admittedOf(shedding, 2)).toBeLessThan(urgent);
  });

  it('never refuses all requests, and admits all again once the queues are gone', () => {
    const shedding = create();
    report(shedding, 10, 50_000);
    expect(admittedOf(shedding, 0)).toBeGreaterThan(0.2);
    report(shedding, 0, 2_000);
    expect(admittedOf(shedding, 2)).toBe(1);
  });
});

// Guards against requests that are refused although nothing is overloaded any more.
describe('requests after an overload that has ended', () => {
  const LEAF_REPORTS_OF_A_REQUEST = 12;

  function mergeReports(shedding: OverloadShedding, part: number, reports: number): void {
    for (let index = 0; index < reports; index += 1) shedding.mergeAdmittedPart(SET, part);
  }

  it('are all admitted, of every priority, once two requests have met no overloaded leaf', () => {
    const shedding = create();
    mergeReports(shedding, 0.4, 10 * LEAF_REPORTS_OF_A_REQUEST);
    mergeReports(shedding, 1, 2 * LEAF_REPORTS_OF_A_REQUEST);
    expect([0, 1, 2].map((priority) => admittedOf(shedding, priority))).toEqual([1, 1, 1]);
  });

  it('are hardly refused, of any priority, while one leaf of many is a little short', () => {
    const shedding = create();
    mergeReports(shedding, 1, LEAF_REPORTS_OF_A_REQUEST - 1);
    mergeReports(shedding, 0.9, 1);
    expect(admittedOf(shedding, 2)).toBeGreaterThan(0.98);
  });

  it('are all admitted within ten seconds when no leaf and no replica is heard of', () => {
    const clock = new ManualClock();
    const shedding = create(clock);
    mergeReports(shedding, 0.3, 10 * LEAF_REPORTS_OF_A_REQUEST);
    report(shedding, 10, 2_000);
    clock.advance(10_000);
    expect([0, 1, 2].map((priority) => admittedOf(shedding, priority))).toEqual([1, 1, 1]);
  });

  it('are refused on while replicas or leaves keep reporting the overload', () => {
    const clock = new ManualClock();
    const shedding = create(clock);
    for (let second = 0; second < 30; second += 1) {
      mergeReports(shedding, 0.4, LEAF_REPORTS_OF_A_REQUEST);
      clock.advance(1_000);
    }
    expect(admittedOf(shedding, 0)).toBeLessThan(0.7);
  });
});

// Guards against an overload that gateways report to each other in turn after it has ended.
describe('a gateway that is both root and leaf of a set of shards', () => {
  it('reports the overload of its replicas, not that of other leaves', () => {
    const shedding = create();
    for (let index = 0; index < 100; index += 1) shedding.mergeAdmittedPart(SET, 0.4);
    expect(shedding.admittedPart(SET)).toBeLessThan(0.5);
    expect(shedding.replicaPart(SET)).toBe(1);
  });
});
