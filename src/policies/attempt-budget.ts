/**
 * A budget for further attempts, in percent of first attempts. At any moment
 * the spent ones are at most the initial reserve plus that percentage.
 */

/** What one further attempt costs; a first attempt earns its percentage of it. */
const ATTEMPT_COST = 100;

/** Bounds of an {@link AttemptBudget}. */
export interface AttemptBudgetOptions {
  /** Earned by each first attempt, in percent of a further one. */
  readonly depositPercent: number;
  /** Further attempts that may be spent before any was earned. */
  readonly initialReserve: number;
  /** Most further attempts that can be saved up, which bounds a burst. */
  readonly maximumReserve: number;
}

/** Earned by first attempts, spent by hedges or retries; does not depend on time. */
export class AttemptBudget {
  private balance: number;

  constructor(private readonly options: AttemptBudgetOptions) {
    this.balance = options.depositPercent > 0 ? options.initialReserve * ATTEMPT_COST : 0;
  }

  /** A first attempt was sent. */
  deposit(): void {
    const most = this.options.maximumReserve * ATTEMPT_COST;
    this.balance = Math.min(most, this.balance + this.options.depositPercent);
  }

  /** Takes one further attempt; false when the budget is spent. */
  tryWithdraw(): boolean {
    if (this.balance < ATTEMPT_COST) return false;
    this.balance -= ATTEMPT_COST;
    return true;
  }
}
