/** Tracks the requests in flight to one peer, in the order in which they were sent. */

/** Requests in flight to one peer. Times are clock readings in milliseconds. */
export class AttemptsInFlight {
  private readonly sentAt = new Map<number, number>();
  private nextAttempt = 0;

  get count(): number {
    return this.sentAt.size;
  }

  /** Adds a request and returns its number for {@link AttemptsInFlight.end}. */
  begin(now: number): number {
    this.nextAttempt += 1;
    this.sentAt.set(this.nextAttempt, now);
    return this.nextAttempt;
  }

  end(attempt: number): void {
    this.sentAt.delete(attempt);
  }

  /** Time since the oldest request was sent; 0 when none is in flight. */
  oldestWait(now: number): number {
    for (const sentAt of this.sentAt.values()) return now - sentAt;
    return 0;
  }
}
