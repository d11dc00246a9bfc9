/**
 * A budget for extra attempts (hedges or retries) as a percentage of first
 * attempts. The extra attempts never exceed the initial reserve plus that
 * percentage of the first attempts so far.
 */

/** Cost of one extra attempt, in the unit of `depositPercent`. */
const ATTEMPT_COST = 100;

/** Settings of an {@link AttemptBudget}. */
export interface AttemptBudgetOptions {
  /** Deposit for each first attempt, in percent of an extra attempt's cost. */
  readonly depositPercent: number;
  /** Extra attempts that are allowed before any deposit; none are when `depositPercent` is 0. */
  readonly initialReserve: number;
  /** Most extra attempts that the balance can hold, which bounds a burst. */
  readonly maximumReserve: number;
}

/** The balance depends on the attempts alone, not on time. */
export class AttemptBudget {
  private balance: number;

  constructor(private readonly options: AttemptBudgetOptions) {
    this.balance = options.depositPercent > 0 ? options.initialReserve * ATTEMPT_COST : 0;
  }

  /** Credits a first attempt. */
  deposit(): void {
    const maximum = this.options.maximumReserve * ATTEMPT_COST;
    this.balance = Math.min(maximum, this.balance + this.options.depositPercent);
  }

  /** Debits one extra attempt; false, without a debit, when the balance is too low. */
  tryWithdraw(): boolean {
    if (this.balance < ATTEMPT_COST) return false;
    this.balance -= ATTEMPT_COST;
    return true;
  }
}
