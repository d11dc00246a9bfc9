/**
 * Bounds what replicas get beyond the first sending of each request. The bound
 * holds for all gateways together and over any span of time: each spends a
 * fraction of its own requests, and saves up no more than its share of what the
 * fleet may save up. In a process younger than a window it begins with its share
 * of what is never saved up, so that a fleet that starts again at once stays
 * within the bounds too; in an older one all of its share is there, since nothing
 * of it can have been spent within the window.
 */

/** Bounds of the whole fleet. */
export interface ExtraAttemptLimits {
  /** Further sendings for each request. */
  readonly ratio: number;
  /** Further sendings beyond that, of all gateways together, in any window. */
  readonly slack: number;
  /** Length of a window. Milliseconds. */
  readonly windowMs: number;
}

/** Part of the bounds that is used, for what is counted differently elsewhere. */
const USED_FRACTION = 0.85;

/** Of one service. */
export class ExtraAttemptBudget {
  private tokens: number;

  constructor(
    private readonly limits: ExtraAttemptLimits,
    gateways: number,
    isProcessOld: boolean,
  ) {
    const fraction = isProcessOld ? USED_FRACTION : 1 - USED_FRACTION;
    this.tokens = (limits.slack * fraction) / Math.max(1, gateways);
  }

  /** A request was sent for the first time. */
  recordRequest(gateways: number): void {
    const maximum = (this.limits.slack * USED_FRACTION) / Math.max(1, gateways);
    this.tokens = Math.min(this.tokens + this.limits.ratio * USED_FRACTION, Math.max(1, maximum));
  }

  /** Takes one further sending; false when there is none left. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Gives back what {@link ExtraAttemptBudget.take} took and was not used. */
  giveBack(): void {
    this.tokens += 1;
  }
}
