/**
 * The route table in force. A gateway that has just started gets its first one
 * within moments; requests that come before wait for it for a bounded part of
 * the time they have, since it is served then. Afterwards, or when it takes
 * longer, they are refused at once.
 */
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';

/** How long after its start a gateway expects its first table any moment. Milliseconds. */
const YOUNG_MS = 3_000;
/** Longest wait, as a part of the time that the caller has, and in milliseconds. */
const LONGEST_WAIT_PART = 0.25;
const LONGEST_WAIT_MS = 400;
/** Requests that may wait at once; further ones are refused at once. */
const MAXIMUM_WAITING = 500;

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
  wait(patienceMs: number): Promise<RouteTable | undefined> {
    const isYoung = this.clock.now() - this.startedAt < YOUNG_MS;
    if (!isYoung || this.waiting.size >= MAXIMUM_WAITING) return Promise.resolve(undefined);
    const longest = Math.min(LONGEST_WAIT_MS, patienceMs * LONGEST_WAIT_PART);
    return new Promise((resolve) => {
      const onTable = (table: RouteTable): void => {
        timer.cancel();
        resolve(table);
      };
      const timer = this.clock.setTimer(longest, () => {
        this.waiting.delete(onTable);
        resolve(undefined);
      });
      this.waiting.add(onTable);
    });
  }
}
