/**
 * Schedules the retries of refused callers, one after the other from the time at which capacity is
 * expected. Otherwise callers refused in a burst would retry together and find the queues full
 * again.
 */
import type { RandomSource } from '../seams/random-source.js';

/** Longest retry delay, as a fraction of the time to the caller's deadline. */
const MAXIMUM_DELAY_FRACTION = 0.3;
/** Shorter delays gain a caller nothing. */
const MINIMUM_RETRY_AFTER_MS = 20;
const MAXIMUM_SERVICES = 10_000;

/** Timing of one refused request. Durations are milliseconds. */
export interface RefusedRequestTiming {
  readonly service: string;
  /** Clock reading. */
  readonly now: number;
  /** Time until capacity for one request is expected. */
  readonly availableIn: number;
  /** Mean time between slots becoming free. */
  readonly interval: number;
  /** Time until the caller's deadline. */
  readonly remaining: number;
}

/** Retry schedule of one gateway; services are independent of each other. */
export class RetrySchedule {
  /** Scheduled retry of the last refused caller, by service. Clock readings. */
  private readonly lastRetryAt = new Map<string, number>();

  constructor(private readonly random: RandomSource) {}

  /** Returns the delay after which the caller may retry. Milliseconds. */
  next({ service, now, availableIn, interval, remaining }: RefusedRequestTiming): number {
    const afterOthers = (this.lastRetryAt.get(service) ?? -Infinity) + interval;
    const retryAt = Math.max(now + availableIn, afterOthers);
    if (this.lastRetryAt.size >= MAXIMUM_SERVICES) this.lastRetryAt.clear();
    const maximum = Math.max(MINIMUM_RETRY_AFTER_MS, remaining * MAXIMUM_DELAY_FRACTION);
    // Bounded, so that scheduled times don't move ever further beyond the delays that callers get.
    this.lastRetryAt.set(service, Math.min(retryAt, now + maximum));
    // Other gateways schedule their callers alike: randomize over up to twice the delay.
    const delay = (retryAt - now) * (1 + this.random.nextFloat());
    return Math.min(maximum, Math.max(MINIMUM_RETRY_AFTER_MS, delay));
  }
}
