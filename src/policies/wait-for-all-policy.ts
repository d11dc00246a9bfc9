/** Waits for every shard until the deadline. */
import type { CompletionPolicy } from './completion-policy.js';

/** For services whose coverage matters more than their latency. */
export class WaitForAllPolicy implements CompletionPolicy {
  recordReply(): void {}

  recordUnfinished(): void {}

  furtherWait(): number {
    return Infinity;
  }
}
