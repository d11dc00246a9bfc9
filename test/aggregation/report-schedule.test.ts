import { describe, expect, it } from 'vitest';
import { ReportSchedule, type ReportTerms } from '../../src/aggregation/report-schedule.js';

const TERMS: ReportTerms = {
  target: 100,
  hedgeDelay: 38,
  grantDelay: undefined,
  medianLatency: 10,
  reportIn: 76,
  typicalLag: 0,
  shards: 8,
  requiredCoverage: 0.85,
};

describe('a leaf that is behind', () => {
  it('reports nothing before the median replica has answered', () => {
    const schedule = new ReportSchedule({
      ...TERMS,
      medianLatency: 30,
      reportIn: 20,
      typicalLag: 60,
    });
    expect(schedule.reportDelay).toBe(30);
    expect(schedule.grantRequestDelay).toBe(30);
    expect(schedule.isGrantRequestedWithReport).toBe(true);
  });

  it('shows that it is alive however slow replicas are', () => {
    const schedule = new ReportSchedule({ ...TERMS, medianLatency: 80, typicalLag: 60 });
    expect(schedule.grantRequestDelay).toBe(35);
  });
});

describe('a leaf in time', () => {
  it('requests its grant before its hedges are due, and reports when the root waits for it', () => {
    const schedule = new ReportSchedule({ ...TERMS, hedgeDelay: 25 });
    expect(schedule.grantRequestDelay).toBeCloseTo(0.7 * 25);
    expect(schedule.reportDelay).toBe(76);
    expect(schedule.isGrantRequestedWithReport).toBe(false);
  });
});

// Guards against requests for grants that hedges do not need, as the replicas answer meanwhile.
describe('a leaf whose grants come quickly', () => {
  it('requests them by as much before its hedges are due', () => {
    const schedule = new ReportSchedule({ ...TERMS, hedgeDelay: 25, grantDelay: 3 });
    expect(schedule.grantRequestDelay).toBe(22);
  });

  it('requests them no earlier where they come late', () => {
    const schedule = new ReportSchedule({ ...TERMS, hedgeDelay: 25, grantDelay: 40 });
    expect(schedule.grantRequestDelay).toBeCloseTo(0.7 * 25);
  });
});

describe('parts that come after the report', () => {
  it('are reported less and less often, four times in a target at the least', () => {
    const schedule = new ReportSchedule(TERMS);
    const intervals = Array.from({ length: 6 }, () => {
      const interval = schedule.lateReportInterval(3);
      schedule.recordLateReport();
      return interval;
    });
    expect(intervals).toEqual([3, 6, 12, 24, 25, 25]);
  });

  it('are reported soon once the group has its share of the required coverage', () => {
    const schedule = new ReportSchedule(TERMS);
    for (let count = 0; count < 4; count += 1) schedule.recordLateReport();
    expect(schedule.lateReportInterval(5)).toBe(25);
    expect(schedule.lateReportInterval(6)).toBe(3);
  });
});
