/** Logs when a budget for what peers make a process hold begins to be spent, and when it suffices again. */
import type { Logger } from './logger.js';

/** Checks without anything given up after which the budget suffices again. */
const QUIET_CHECKS = 40;

/** What a {@link BudgetWatch} reads and writes. */
export interface BudgetWatchOptions {
  /** What the budget is for; a field of the lines. */
  readonly kind: string;
  /** Number of responses, requests or connections given up so far. */
  readonly countGivenUp: () => number;
  readonly logger: Logger;
}

/** Watches one budget. Call {@link check} several times a second. */
export class BudgetWatch {
  private counted = 0;
  /** Checks since the last one that found something given up; undefined while the budget suffices. */
  private quietChecks: number | undefined;
  private countedBefore = 0;

  constructor(private readonly options: BudgetWatchOptions) {}

  check(): void {
    const { kind, countGivenUp, logger } = this.options;
    const counted = countGivenUp();
    if (counted > this.counted) {
      if (this.quietChecks === undefined) {
        this.countedBefore = this.counted;
        logger.warn('memory budget spent', { kind, givenUp: counted - this.counted });
      }
      this.counted = counted;
      this.quietChecks = 0;
      return;
    }
    if (this.quietChecks === undefined) return;
    this.quietChecks += 1;
    if (this.quietChecks < QUIET_CHECKS) return;
    this.quietChecks = undefined;
    logger.info('memory budget suffices again', { kind, givenUp: counted - this.countedBefore });
  }
}
