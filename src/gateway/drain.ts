/**
 * The drain of a planned stop. Until it ends, a request or attempt is started only if its answer is
 * there before: one that is cut off leaves its caller not knowing whether it ran.
 */
import type { Clock } from '../seams/clock.js';
import type { CallerRequest } from './caller-request.js';
import type { RouteLatencies } from './route-latencies.js';

/** Reason given for what a stopping gateway refuses or gives up. */
export const STOPPING = 'the gateway is stopping';
/** Other gateways take the request at once. Milliseconds. */
export const DRAIN_RETRY_AFTER_MS = 20;

/** Few of the attempts of a route take longer than this quantile. */
const LATENCY_QUANTILE = 0.99;
/** Covers queues and connecting, and attempts that are slower than the learned ones. */
const LATENCY_MARGIN = 2;

/** One per gateway; draining from {@link Drain.begin} until {@link Drain.end}. */
export class Drain {
  /** Clock reading; Infinity while the gateway is not stopping. */
  private endsAt = Infinity;
  private readonly onEnd = new Set<() => void>();
  /** Requests that were refused because they might not be answered before the end. */
  refused = 0;
  /** Requests and gathers that were unanswered at the end. */
  unanswered = 0;

  constructor(
    private readonly clock: Clock,
    private readonly latencies: RouteLatencies,
  ) {}

  /** Starts the drain, which ends at that clock reading. */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
  }

  /** Gives up what is still unanswered. */
  end(): void {
    const callbacks = [...this.onEnd];
    this.onEnd.clear();
    this.unanswered += callbacks.length;
    for (const callback of callbacks) callback();
  }

  /** Whether the request, with all attempts that it may need, will be answered before the end. */
  admits(request: CallerRequest): boolean {
    return this.hasTimeFor(request, request.route.maximumAttempts);
  }

  /** Whether one more attempt of the request will be answered before the end. */
  admitsAttempt(request: CallerRequest): boolean {
    return this.hasTimeFor(request, 1);
  }

  /** Calls `callback` at the end unless {@link Drain.cancelOnceEnded} is called first. */
  onceEnded(callback: () => void): void {
    this.onEnd.add(callback);
  }

  cancelOnceEnded(callback: () => void): void {
    this.onEnd.delete(callback);
  }

  private hasTimeFor(request: CallerRequest, attempts: number): boolean {
    if (request.deadline <= this.endsAt) return true;
    // One that runs twice does no harm, so that the usual latency decides.
    if (request.route.execution !== 'repeatable') return false;
    const attemptMs = this.latencies.of(request.route).quantile(LATENCY_QUANTILE);
    if (attemptMs === undefined) return false;
    return this.clock.now() + attempts * attemptMs * LATENCY_MARGIN <= this.endsAt;
  }
}
