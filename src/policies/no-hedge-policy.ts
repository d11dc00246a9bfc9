/** Hedging switched off. */
import type { HedgePolicy } from './hedge-policy.js';

/** Never hedges, however slow an attempt is: the baseline to which hedging is compared. */
export class NoHedgePolicy implements HedgePolicy {
  recordFirstAttempt(): void {}

  recordLatency(): void {}

  recordUnfinished(): void {}

  hedgeDelay(): undefined {
    return undefined;
  }

  tryTakeBudget(): boolean {
    return false;
  }
}
