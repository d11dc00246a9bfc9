/**
 * The route table in force. A gateway that has just started receives its first table within
 * moments, so requests that arrive earlier wait for it, for a bounded fraction of their timeout.
 * They are refused when that wait ends; after the startup time, requests are refused at once.
 */
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';

/** Time after the start within which requests wait for the first table. Milliseconds. */
const STARTUP_MS = 3_000;
/** Maximum wait as a fraction of the caller's timeout; {@link MAXIMUM_WAIT_MS} applies as well. */
const MAXIMUM_WAIT_FRACTION = 0.25;
const MAXIMUM_WAIT_MS = 400;
/** Requests beyond this number of waiting ones are refused at once. */
const MAXIMUM_WAITING_REQUESTS = 500;

/** Create it when the gateway starts: the startup time counts from its construction. */
export class TableInForce {
  /** Undefined before the first table. */
  current: RouteTable | undefined;
  private readonly startedAt: number;
  private readonly waiting = new Set<(table: RouteTable) => void>();

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  /** Puts a table in force and wakes all waiting requests. */
  use(table: RouteTable): void {
    this.current = table;
    for (const resolve of this.waiting) resolve(table);
    this.waiting.clear();
  }

  /**
   * Waits for the first table. Resolves with undefined when the maximum wait passes, and at once when
   * the startup time is over or too many requests are waiting.
   */
  waitForFirst(callerTimeoutMs: number): Promise<RouteTable | undefined> {
    const isStarting = this.clock.now() - this.startedAt < STARTUP_MS;
    if (!isStarting || this.waiting.size >= MAXIMUM_WAITING_REQUESTS)
      return Promise.resolve(undefined);
    const maximumWaitMs = Math.min(MAXIMUM_WAIT_MS, callerTimeoutMs * MAXIMUM_WAIT_FRACTION);
    return new Promise((resolve) => {
      const onTable = (table: RouteTable): void => {
        timer.cancel();
        resolve(table);
      };
      const timer = this.clock.setTimer(maximumWaitMs, () => {
        this.waiting.delete(onTable);
        resolve(undefined);
      });
      this.waiting.add(onTable);
    });
  }
}
