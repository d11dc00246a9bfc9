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
export interface SecondSendLimits {
  /** Further sendings for each request. */
  readonly ratio: number;
  /** Further sendings beyond that, of all gateways together, in any window. */
  readonly slack: number;
  /** Length of a window. Milliseconds. */
  readonly windowMs: number;
}

/** Part of the bounds that is used, for what is counted differently elsewhere. */
const USED_PART = 0.85;

/** Of one service. */
export class SecondSendBudget {
  private saved: number;

  constructor(
    private readonly limits: SecondSendLimits,
    gateways: number,
    isProcessOld: boolean,
  ) {
    const part = isProcessOld ? USED_PART : 1 - USED_PART;
    this.saved = (limits.slack * part) / Math.max(1, gateways);
  }

  /** A request was sent for the first time. */
  noteRequest(gateways: number): void {
    const most = (this.limits.slack * USED_PART) / Math.max(1, gateways);
    this.saved = Math.min(this.saved + this.limits.ratio * USED_PART, Math.max(1, most));
  }

  /** Takes one further sending; false when there is none left. */
  take(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }

  /** Gives back what {@link SecondSendBudget.take} took and was not used. */
  giveBack(): void {
    this.saved += 1;
  }
}
