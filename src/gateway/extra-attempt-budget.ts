/**
 * Token bucket that bounds extra attempts: retries and hedges beyond the first attempt of each
 * request. The bound holds for all gateways together and over any window: each gateway earns a
 * fraction of a token per request of its own, and its bucket holds no more than its share of the
 * fleet's slack. In a process younger than a window, a bucket starts with the gateway's share of
 * the reserve that is never accumulated, so that a fleet that restarts all at once stays within the
 * bounds too. In an older process it starts full, since none of it can have been spent within the
 * window.
 */

/** Limits of the whole fleet. */
export interface ExtraAttemptLimits {
  /** Extra attempts per request. */
  readonly ratio: number;
  /** Extra attempts in addition to the ratio, of all gateways together, in any window. */
  readonly slack: number;
  /** Length of a window. Milliseconds. */
  readonly windowMs: number;
}

/** Fraction of the limits in use; the rest covers attempts counted differently elsewhere. */
const USED_FRACTION = 0.85;

/** Budget of one gateway for one service. */
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

  /** Earns tokens for the first attempt of a request. */
  recordRequest(gateways: number): void {
    const maximum = (this.limits.slack * USED_FRACTION) / Math.max(1, gateways);
    this.tokens = Math.min(this.tokens + this.limits.ratio * USED_FRACTION, Math.max(1, maximum));
  }

  /** Takes one extra attempt; false if none is left. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns an extra attempt from {@link ExtraAttemptBudget.take} that was not used. */
  giveBack(): void {
    this.tokens += 1;
  }
}
