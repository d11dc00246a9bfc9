/**
 * The route table in force. A gateway that has just started gets its first one
 * within moments; requests that come before wait for it for a bounded part of
 * the time they have, since it is served then. Afterwards, or when it takes
 * longer, they are refused at once.
 */
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';

/** How long after its start a gateway expects its first table any moment. Milliseconds. */
const STARTUP_MS = 3_000;
/** Longest wait, as a part of the time that the caller has, and in milliseconds. */
const MAXIMUM_WAIT_FRACTION = 0.25;
const MAXIMUM_WAIT_MS = 400;
/** Requests that may wait at once; further ones are refused at once. */
const MAXIMUM_WAITING_REQUESTS = 500;

/** See the module comment. */
export class TableInForce {
  current: RouteTable | undefined;
  private readonly startedAt: number;
  private readonly waiting = new Set<(table: RouteTable) => void>();

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  use(table: RouteTable): void {
    this.current = table;
    for (const resolve of this.waiting) resolve(table);
    this.waiting.clear();
  }

  /** The first table, once it is there; undefined when it is not worth the wait. */
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
