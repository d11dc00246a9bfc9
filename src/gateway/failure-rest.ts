/** How long a peer that could not be used is left alone: longer with each failure in a row. */

/** First and longest rest. Milliseconds. */
const FIRST_REST_MS = 150;
const LONGEST_REST_MS = 4_000;

/** See the module comment. Times are clock readings. */
export class FailureRest {
  private restsUntil = -Infinity;
  private failures = 0;

  noteFailure(now: number): void {
    const rest = Math.min(FIRST_REST_MS * 2 ** this.failures, LONGEST_REST_MS);
    this.failures += 1;
    this.restsUntil = now + rest;
  }

  /** It answered: it can be used. */
  noteUsable(): void {
    this.failures = 0;
    this.restsUntil = -Infinity;
  }

  isResting(now: number): boolean {
    return now < this.restsUntil;
  }
}
