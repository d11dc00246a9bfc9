import { describe, expect, it } from 'vitest';
import type { PartsMessage } from '../../src/aggregation/aggregation-messages.js';
import { LeafGather } from '../../src/aggregation/leaf-gather.js';
import { Drain } from '../../src/gateway/drain.js';
import type { GatherSummary } from '../../src/gateway/request-decisions.js';
import type { PartListener } from '../../src/gateway/part-source.js';
import { RouteLatencies } from '../../src/gateway/route-latencies.js';
import { ManualClock } from '../support/manual-clock.js';

const SHARDS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const REPORT_IN_MS = 40;

interface StartedGather {
  readonly clock: ManualClock;
  readonly reports: PartsMessage[];
  /** Times of the reports. Clock readings. */
  readonly reportedAt: number[];
  readonly listener: PartListener;
  /** What happened, in order. */
  readonly events: string[];
  readonly drain: Drain;
  /** Whether each gather that ended was late. */
  readonly lateness: boolean[];
  /** Summaries of gathers whose line was written. */
  readonly summaries: GatherSummary[];
  /** How long grants took, as the gather recorded it. */
  readonly grantDelays: number[];
  readonly gather: LeafGather;
}

/** Starts a gather at a leaf with this lag of its timers; its parts come from the test. */
function startGather(typicalLag = 0, lag = typicalLag, reportInMs = REPORT_IN_MS): StartedGather {
  const clock = new ManualClock();
  const reports: PartsMessage[] = [];
  const reportedAt: number[] = [];
  const events: string[] = [];
  const lateness: boolean[] = [];
  const summaries: GatherSummary[] = [];
  const grantDelays: number[] = [];
  const drain = new Drain(clock, new RouteLatencies());
  let listener: PartListener | undefined;
  const context = {
    environment: { clock },
    latencies: { of: () => ({ hedgeDelay: 1_000, median: 0 }) },
    answerMargin: { lag, typicalLag, recordTimerLag: () => undefined },
    shedding: { admittedPart: () => 1, replicaPart: () => 1 },
    drain,
    decisions: {
      logGather: (_request: unknown, _source: unknown, summary: GatherSummary): void => {
        events.push('line written');
        summaries.push(summary);
      },
    },
  };
  const source = {
    start: () => undefined,
    cancel: () => events.push('attempts ended'),
    mayHaveSent: true,
    sends: 8,
  };
  const route = { targetLatencyMs: 1_000, timeoutMs: 2_000, topRecords: 1 };
  const options = {
    gatherId: 1,
    request: { route, deadline: clock.now() + 2_000 },
    shards: SHARDS,
    totalShards: SHARDS.length,
    isRepeat: false,
    reportInMs,
    delayMs: 0,
    root: 'root',
    rootRouteVersion: 1,
    admission: { recordGather: (isLate: boolean) => lateness.push(isLate), admittedPart: 1 },
    relay: (given: PartListener) => {
      listener = given;
      return source;
    },
    report: (message: PartsMessage) => {
      reports.push(message);
      events.push('reported');
      reportedAt.push(clock.now());
    },
    grantDelay: { typical: undefined, record: (delayMs: number) => grantDelays.push(delayMs) },
    onEnd: () => undefined,
    gathersInProgress: () => 1,
  };
  const gather = new LeafGather(context as never, options as never);
  gather.start();
  if (listener === undefined) throw new Error('expected the gather to create its source');
  return {
    clock,
    reports,
    reportedAt,
    listener,
    events,
    drain,
    lateness,
    summaries,
    grantDelays,
    gather,
  };
}

function partOf(shard: string): Parameters<PartListener['onParts']>[0] {
  return { shards: [shard], signatures: [`of-${shard}`], records: new Uint8Array(16) };
}

describe('a gather whose parts come after its report', () => {
  it('reports them in batches, each part once', () => {
    const { clock, reports, listener } = startGather();
    clock.advance(REPORT_IN_MS);
    const before = reports.length;
    for (const shard of SHARDS) {
      clock.advance(0.5);
      listener.onParts(partOf(shard));
    }
    clock.advance(10);
    expect(reports.length - before).toBeLessThanOrEqual(4);
    const positions = reports.flatMap(({ shards }) => JSON.parse(shards) as number[]);
    expect([...positions].sort()).toEqual(SHARDS.map((_, index) => index));
    expect(reports.at(-1)?.isLast).toBe(true);
  });

  it('reports a part at once after a pause', () => {
    const { clock, reportedAt, listener } = startGather();
    clock.advance(REPORT_IN_MS + 20);
    listener.onParts(partOf('a'));
    expect(reportedAt.at(-1)).toBe(clock.now());
  });
});

// Guards against leaves that report more often the further they are behind.
describe('a gather whose parts come one by one after its report', () => {
  it('is not reported for each part', () => {
    const { clock, reports, listener } = startGather();
    clock.advance(REPORT_IN_MS);
    for (const shard of SHARDS) {
      clock.advance(4);
      listener.onParts(partOf(shard));
    }
    expect(reports.length).toBeLessThanOrEqual(5);
    const positions = reports.flatMap(({ shards }) => JSON.parse(shards) as number[]);
    expect([...positions].sort()).toEqual(SHARDS.map((_, index) => index));
  });

  it('is reported although the rest stays away', () => {
    const { clock, reports, listener } = startGather();
    clock.advance(REPORT_IN_MS);
    for (const shard of SHARDS.slice(1)) {
      clock.advance(4);
      listener.onParts(partOf(shard));
    }
    clock.advance(250);
    const positions = reports.flatMap(({ shards }) => JSON.parse(shards) as number[]);
    expect(positions.length).toBe(SHARDS.length - 1);
  });
});

describe('a leaf whose timers lag by so much that its reports are due at nearly the same time', () => {
  it('sends one, which requests the grant', () => {
    const { clock, reports } = startGather(400, 400, 300);
    clock.advance(500);
    expect(reports.map(({ wantsGrant }) => wantsGrant)).toEqual([true]);
  });
});

describe('a leaf whose timers lag by more than the time until the report', () => {
  it('reports when replicas can have answered, not at once and empty', () => {
    const { clock, reports, reportedAt } = startGather(REPORT_IN_MS * 3);
    const startedAt = clock.now();
    clock.advance(REPORT_IN_MS);
    expect(reports.length).toBe(1);
    expect((reportedAt[0] ?? 0) - startedAt).toBeGreaterThanOrEqual(REPORT_IN_MS / 2);
  });
});

describe('a leaf whose timers lag', () => {
  // Guards against grants that come after the hedges are due, and leaves that are late taken for silent;
  // and against a request for a grant with each gather of a busy leaf, at once and without a part.
  it('requests its grant earlier by the lag, but not before replicas can have answered', () => {
    for (const lag of [0, 100, 175, 400]) {
      const { clock, reports, reportedAt } = startGather(lag);
      const startedAt = clock.now();
      clock.advance(500);
      const requested = reports.findIndex(({ wantsGrant }) => wantsGrant);
      // A third of the target of 1,000 ms, as its replicas' hedges are due later.
      expect((reportedAt[requested] ?? 0) - startedAt).toBe(350 - Math.min(lag, 175));
    }
  });
});

describe('a grant', () => {
  it('tells how long it took since it was requested', () => {
    const { clock, gather, grantDelays } = startGather();
    clock.advance(350);
    clock.advance(4);
    gather.grant();
    expect(grantDelays).toEqual([4]);
  });
});

describe('the line of a gather', () => {
  it('tells how many reports held no part', () => {
    const { clock, listener, summaries } = startGather();
    clock.advance(REPORT_IN_MS);
    for (const shard of SHARDS) listener.onParts(partOf(shard));
    expect(summaries.map(({ reports, emptyReports }) => ({ reports, emptyReports }))).toEqual([
      { reports: 2, emptyReports: 1 },
    ]);
  });
});

describe('a gather whose shards have all ended', () => {
  it('is reported before its attempts are ended and its line is written', () => {
    const { events, listener } = startGather();
    for (const shard of SHARDS) listener.onParts(partOf(shard));
    expect(events).toEqual(['reported', 'attempts ended', 'line written']);
  });
});

describe('a gather that is in progress when the drain of its leaf ends', () => {
  // Guards against a root that knows nothing of the parts, as its connection is closed without a report.
  it('is reported with the parts that are there', () => {
    const { reports, listener, events, drain } = startGather();
    listener.onParts(partOf('a'));
    drain.end();
    expect(reports.map(({ shards, isLast, reason }) => ({ shards, isLast, reason }))).toEqual([
      { shards: '[0]', isLast: true, reason: 'the gateway is stopping' },
    ]);
    expect(events).toEqual(['reported', 'attempts ended', 'line written']);
  });
});

describe('a leaf whose timers lag in rare pauses only', () => {
  // Guards against reports without a part, and a report for each part after them.
  it('moves none of its reports forward', () => {
    const { clock, reports, reportedAt } = startGather(0, 400);
    const startedAt = clock.now();
    clock.advance(500);
    const requested = reports.findIndex(({ wantsGrant }) => wantsGrant);
    expect((reportedAt[0] ?? 0) - startedAt).toBe(REPORT_IN_MS);
    expect((reportedAt[requested] ?? 0) - startedAt).toBe(350);
  });
});

// Guards against a leaf that refuses requests because it reports early: the parts of its gathers come
// after such a report, in time for the root.
describe('a leaf that reports early as its timers lag', () => {
  it('counts no gather as late whose parts are there when the root waits for them', () => {
    const { clock, listener, lateness } = startGather(REPORT_IN_MS);
    clock.advance(REPORT_IN_MS * 0.75);
    for (const shard of SHARDS) listener.onParts(partOf(shard));
    expect(lateness).toEqual([false]);
  });

  it('counts one as late when half of the parts come after that', () => {
    const { clock, listener, lateness } = startGather(REPORT_IN_MS);
    clock.advance(REPORT_IN_MS + 1);
    for (const shard of SHARDS) listener.onParts(partOf(shard));
    expect(lateness).toEqual([true]);
  });
});
