import { describe, expect, it } from 'vitest';
import { Drain } from '../../src/gateway/drain.js';
import { FanOut } from '../../src/gateway/fan-out.js';
import type { PartListener, PartSource } from '../../src/gateway/part-source.js';
import { RouteLatencies } from '../../src/gateway/route-latencies.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { ManualClock } from '../support/manual-clock.js';

const SHARDS = ['a', 'b', 'c', 'd'];

interface StartedFanOut {
  readonly clock: ManualClock;
  /** What happened, in order. */
  readonly events: string[];
  readonly listener: PartListener;
}

/** Starts a fan-out over one source, whose parts come from the test. */
function startFanOut(): StartedFanOut {
  const clock = new ManualClock();
  const events: string[] = [];
  let listener: PartListener | undefined;
  const context = {
    environment: { clock },
    mechanisms: { cutOff: true, shedding: false },
    regions: { permitted: () => ['replica'] },
    targets: { of: () => ['replica'] },
    shedding: { admittedPart: () => 1 },
    answerMargin: { cutOffDelay: () => 10, recordTimerLag: () => undefined, lag: 0 },
    crashGuard: { isQuarantined: () => false },
    drain: new Drain(clock, new RouteLatencies()),
    headers: DEFAULT_EXCHANGE_HEADERS,
    decisions: { logFanOut: () => events.push('line written') },
  };
  const request = {
    id: 'mine',
    route: { requiredCoverage: 0.75, targetLatencyMs: 50, topRecords: 1 },
    receivedAt: clock.now(),
    deadline: clock.now() + 500,
    signal: new AbortController().signal,
  };
  const source = {
    start: () => undefined,
    cancel: () => events.push('source cancelled'),
    sends: SHARDS.length,
    shardsQueriedHere: 0,
    mayHaveSent: true,
    mayRun: true,
  };
  const planSources = (_request: unknown, _shards: unknown, given: PartListener): PartSource[] => {
    listener = given;
    return [source as never];
  };
  const fanOut = new FanOut(context as never, request as never, SHARDS, planSources);
  void fanOut.run().then(({ status }) => events.push(`answered ${status}`));
  if (listener === undefined) throw new Error('expected the fan-out to plan its sources');
  return { clock, events, listener };
}

function partOf(shard: string): Parameters<PartListener['onParts']>[0] {
  return { shards: [shard], signatures: [`of-${shard}`], records: new Uint8Array(16) };
}

async function runMicrotasks(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

describe('a fan-out whose coverage is reached after its cut-off', () => {
  it('answers before it cancels what is left and writes its line', async () => {
    const { clock, events, listener } = startFanOut();
    clock.advance(10);
    for (const shard of SHARDS.slice(0, 3)) listener.onParts(partOf(shard));
    await runMicrotasks();
    expect(events).toEqual(['answered 200']);
    clock.advance(1);
    expect(events).toEqual(['answered 200', 'source cancelled', 'line written']);
  });
});

describe('a fan-out that fails', () => {
  it('cancels its sources first, so that nothing is sent after its response', async () => {
    const { events, listener } = startFanOut();
    listener.onFailed(SHARDS.slice(0, 2));
    await runMicrotasks();
    expect(events).toEqual(['source cancelled', 'line written', 'answered 502']);
  });
});
