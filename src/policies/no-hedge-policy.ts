/** Never hedges. */
import type { HedgePolicy } from './hedge-policy.js';

/** The baseline: each attempt is waited for. */
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
