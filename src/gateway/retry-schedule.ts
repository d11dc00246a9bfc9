/**
 * When callers that were refused are told to come back: when room is expected, one after the other.
 * It answers bursts whose refused callers come back together and find the queues full again.
 */
import type { RandomSource } from '../seams/random-source.js';

/** Most of the time to its deadline that a caller is told to stay away. */
const MAXIMUM_DELAY_FRACTION = 0.3;
/** Below this a caller gains nothing by waiting. Milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 20;
const MAXIMUM_SERVICES = 10_000;

/** One refused request. Clock readings and milliseconds. */
export interface RefusedRequestTiming {
  readonly service: string;
  readonly now: number;
  /** Until room for one request is expected. */
  readonly availableIn: number;
  /** In which room for one more request comes about. */
  readonly interval: number;
  /** To the caller's deadline. */
  readonly remaining: number;
}

/** See the module comment. */
export class RetrySchedule {
  /** Turn of the caller that was told last, by service. Clock reading. */
  private readonly lastRetryAt = new Map<string, number>();

  constructor(private readonly random: RandomSource) {}

  /** After how long the caller may come back. Milliseconds. */
  next({
    service,
    now,
    availableIn: availableIn,
    interval,
    remaining,
  }: RefusedRequestTiming): number {
    const afterOthers = (this.lastRetryAt.get(service) ?? -Infinity) + interval;
    const retryAt = Math.max(now + availableIn, afterOthers);
    if (this.lastRetryAt.size >= MAXIMUM_SERVICES) this.lastRetryAt.clear();
    const maximum = Math.max(MINIMUM_RETRY_AFTER_MS, remaining * MAXIMUM_DELAY_FRACTION);
    // Nobody is told a turn beyond it, so that the turns do not run away from the callers.
    this.lastRetryAt.set(service, Math.min(retryAt, now + maximum));
    // Other gateways tell their callers the same: spread over as long again.
    const delay = (retryAt - now) * (1 + this.random.nextFloat());
    return Math.min(maximum, Math.max(MINIMUM_RETRY_AFTER_MS, delay));
  }
}
