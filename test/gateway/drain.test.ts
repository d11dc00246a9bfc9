/** Tests what a stopping gateway still accepts. */
import { expect, it } from 'vitest';
import type { CallerRequest } from '../../src/gateway/caller-request.js';
import { Drain } from '../../src/gateway/drain.js';
import { RouteLatencies } from '../../src/gateway/route-latencies.js';
import type { Route } from '../../src/routes/route-document.js';
import { ManualClock } from '../support/manual-clock.js';

const ENDS_AT = 5_400;

const ROUTE: Route = {
  name: 'ledger',
  host: 'desk.example',
  pathPrefix: '/l/',
  execution: 'repeatable',
  timeoutMs: 8_000,
  targetLatencyMs: 800,
  priority: 0,
  public: false,
  maximumAttempts: 2,
  service: 'ledger',
};

function requestOf(clock: ManualClock, route: Route, deadlineMs: number): CallerRequest {
  return { route, receivedAt: clock.now(), deadline: clock.now() + deadlineMs } as CallerRequest;
}

function startDrain(answers: readonly number[] = []): { clock: ManualClock; drain: Drain } {
  const clock = new ManualClock();
  const latencies = new RouteLatencies();
  for (const latencyMs of answers) latencies.of(ROUTE).addAnswer(latencyMs);
  const drain = new Drain(clock, latencies);
  drain.begin(ENDS_AT);
  return { clock, drain };
}

const ANSWERS_OF_100_MS = Array.from({ length: 40 }, () => 100);

// Guards against requests that run at most once and are cut off at the end of the drain.
it('admits requests that run at most once only if their whole time is over before the end', () => {
  const { clock, drain } = startDrain(ANSWERS_OF_100_MS);
  const route: Route = { ...ROUTE, execution: 'atMostOnce' };
  expect(drain.admits(requestOf(clock, route, ENDS_AT))).toBe(true);
  expect(drain.admits(requestOf(clock, route, ENDS_AT + 1))).toBe(false);
  clock.advance(ENDS_AT - 1_000);
  expect(drain.admits(requestOf(clock, route, 1_000))).toBe(true);
  expect(drain.admits(requestOf(clock, route, 1_001))).toBe(false);
});

// Guards against callers that are refused for the whole stop although their answers take little time.
it('admits repeatable requests that usually take less time than is left', () => {
  const { clock, drain } = startDrain(ANSWERS_OF_100_MS);
  clock.advance(ENDS_AT - 1_000);
  expect(drain.admits(requestOf(clock, ROUTE, 8_000))).toBe(true);
  clock.advance(800);
  expect(drain.admits(requestOf(clock, ROUTE, 8_000))).toBe(false);
});

// Guards against a few slow answers of a route that the median doesn't show.
it('refuses repeatable requests of a route that takes too long now and then', () => {
  const { clock, drain } = startDrain([...ANSWERS_OF_100_MS, 3_000, 3_000]);
  clock.advance(1_000);
  expect(drain.admits(requestOf(clock, ROUTE, 8_000))).toBe(false);
});

// Guards against requests of a route that nothing is known of.
it('takes the whole time of a repeatable request while no latency is learned', () => {
  const { clock, drain } = startDrain();
  expect(drain.admits(requestOf(clock, ROUTE, ENDS_AT))).toBe(true);
  expect(drain.admits(requestOf(clock, ROUTE, ENDS_AT + 1))).toBe(false);
});

// Guards against hedges and retries that would be cut off.
it('admits one more attempt for longer than a whole request', () => {
  const { clock, drain } = startDrain(ANSWERS_OF_100_MS);
  clock.advance(ENDS_AT - 300);
  const request = requestOf(clock, ROUTE, 8_000);
  expect([drain.admits(request), drain.admitsAttempt(request)]).toEqual([false, true]);
  clock.advance(100);
  expect(drain.admitsAttempt(request)).toBe(false);
});

it('admits everything while the gateway is not stopping', () => {
  const clock = new ManualClock();
  const drain = new Drain(clock, new RouteLatencies());
  const route: Route = { ...ROUTE, execution: 'atMostOnce' };
  expect(drain.admits(requestOf(clock, route, 3_600_000))).toBe(true);
});

it('gives up what is unanswered at its end, and nothing that was answered before', () => {
  const { drain } = startDrain();
  const ended: string[] = [];
  const onEnd = (): void => void ended.push('answered');
  drain.onceEnded(onEnd);
  drain.onceEnded(() => void ended.push('unanswered'));
  drain.cancelOnceEnded(onEnd);
  drain.end();
  drain.end();
  expect(ended).toEqual(['unanswered']);
  expect(drain.unanswered).toBe(1);
});
