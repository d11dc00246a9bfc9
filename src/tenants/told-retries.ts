/**
 * The retry times that a gateway has told the refused callers of one tenant. The gateway reports them
 * to a new quota owner, which knows nothing of the reservations of the one before.
 */

/** Bounds the memory of a tenant, and the bytes of its next token request. */
const MAXIMUM_RETRIES = 500;

/** A refused request. Times are clock readings in milliseconds. */
export interface ToldRetry {
  readonly caller: string;
  /** When its caller was told to return. */
  readonly dueAt: number;
  /** The earliest time from which its token can be reserved: messages to and from the owner took time. */
  readonly reservedFrom: number;
}

/** Retry times in their order. Times are clock readings in milliseconds. */
export class ToldRetries {
  private retries: ToldRetry[] = [];

  /** Records a retry time, unless too many are known. */
  add(told: ToldRetry): void {
    if (this.retries.length >= MAXIMUM_RETRIES) return;
    const index = this.retries.findLastIndex(({ dueAt }) => dueAt <= told.dueAt);
    this.retries.splice(index + 1, 0, told);
  }

  /** The retries that aren't due yet. */
  future(now: number): readonly ToldRetry[] {
    this.dropBefore(now);
    return this.retries;
  }

  /** Removes and returns the caller whose retry is due; undefined when there is none. */
  takeDue(now: number, holdMs: number): string | undefined {
    this.dropBefore(now - holdMs);
    const [first] = this.retries;
    if (first === undefined || first.dueAt > now) return undefined;
    this.retries.shift();
    return first.caller;
  }

  private dropBefore(time: number): void {
    const index = this.retries.findIndex(({ dueAt }) => dueAt >= time);
    if (index !== 0) this.retries = index < 0 ? [] : this.retries.slice(index);
  }
}
