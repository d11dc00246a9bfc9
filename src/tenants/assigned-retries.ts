/**
 * The retry times that refused requests of one tenant got at a gateway. The gateway reports them to a
 * new quota owner, which knows nothing of the reservations of the previous one.
 */

/** Bounds the memory of a tenant, and the bytes of its next token request. */
const MAXIMUM_RETRIES = 500;

/** A refused request. Times are clock readings in milliseconds. */
export interface AssignedRetry {
  readonly caller: string;
  /** Its retry time. */
  readonly dueAt: number;
  /** The earliest time from which its token can be reserved: messages to and from the owner took time. */
  readonly reservedFrom: number;
}

/** Retry times in their order. Times are clock readings in milliseconds. */
export class AssignedRetries {
  private retries: AssignedRetry[] = [];

  /** Records a retry, unless too many are known. */
  add(retry: AssignedRetry): void {
    if (this.retries.length >= MAXIMUM_RETRIES) return;
    const index = this.retries.findLastIndex(({ dueAt }) => dueAt <= retry.dueAt);
    this.retries.splice(index + 1, 0, retry);
  }

  /** The retries that are due at `time` or later; earlier ones are discarded. */
  dueFrom(time: number): readonly AssignedRetry[] {
    this.discardBefore(time);
    return this.retries;
  }

  /** Removes the earliest retry of a caller, which was admitted. */
  remove(caller: string): void {
    const index = this.retries.findIndex((retry) => retry.caller === caller);
    if (index >= 0) this.retries.splice(index, 1);
  }

  /** Removes and returns the caller whose retry is due; undefined when there is none. */
  takeDue(now: number, holdMs: number): string | undefined {
    this.discardBefore(now - holdMs);
    const [first] = this.retries;
    if (first === undefined || first.dueAt > now) return undefined;
    this.retries.shift();
    return first.caller;
  }

  /** Discards the retries that were due before `time`. */
  discardBefore(time: number): void {
    const index = this.retries.findIndex(({ dueAt }) => dueAt >= time);
    if (index !== 0) this.retries = index < 0 ? [] : this.retries.slice(index);
  }
}
