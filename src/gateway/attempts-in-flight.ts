/** The requests in flight to one peer, by when each was sent. */

/** See the module comment. */
export class AttemptsInFlight {
  private readonly sentAt = new Map<number, number>();
  private nextAttempt = 0;

  get count(): number {
    return this.sentAt.size;
  }

  /** Notes a request and gives the number that {@link AttemptsInFlight.end} takes. */
  begin(now: number): number {
    this.nextAttempt += 1;
    this.sentAt.set(this.nextAttempt, now);
    return this.nextAttempt;
  }

  end(attempt: number): void {
    this.sentAt.delete(attempt);
  }

  /** How long the oldest has been waiting; 0 when there is none. Milliseconds. */
  oldestWait(now: number): number {
    for (const sentAt of this.sentAt.values()) return now - sentAt;
    return 0;
  }
}
