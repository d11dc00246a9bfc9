/** Hedging switched off. */
import type { HedgePolicy } from './hedge-policy.js';

/** Never hedges: every attempt runs until its reply, its failure or the deadline. */
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
