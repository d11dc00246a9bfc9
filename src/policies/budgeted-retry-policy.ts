/** Retries within a budget and before the deadline, with exponential backoff and full jitter. */
import type { RandomSource } from '../seams/random-source.js';
import { AttemptBudget } from './attempt-budget.js';
import type { FailedAttempt, RetryPolicy } from './retry-policy.js';

/** Upper bound of the first retry's backoff; doubles with each further retry. Milliseconds. */
const BASE_RETRY_DELAY_MS = 2;
/** Upper bound of every backoff. Milliseconds. */
const MAXIMUM_RETRY_DELAY_MS = 100;
/** Retries allowed before any first attempt has credited the budget, for services with few requests. */
const INITIAL_RESERVE = 10;
/** Most retries that the budget can hold. */
const MAXIMUM_RESERVE = 50;

/** Settings of {@link BudgetedRetryPolicy}. */
export interface BudgetedRetryOptions {
  /** Retries allowed, in percent of first attempts. */
  readonly budgetPercent: number;
  /** Most attempts for one shard of a request, the first included. */
  readonly maximumAttempts: number;
}

/** Bounds retries to a share of first attempts, so that retries cannot sustain an overload. */
export class BudgetedRetryPolicy implements RetryPolicy {
  private readonly budget: AttemptBudget;

  constructor(
    private readonly options: BudgetedRetryOptions,
    private readonly random: RandomSource,
  ) {
    this.budget = new AttemptBudget({
      depositPercent: options.budgetPercent,
      initialReserve: INITIAL_RESERVE,
      maximumReserve: MAXIMUM_RESERVE,
    });
  }

  recordFirstAttempt(): void {
    this.budget.deposit();
  }

  retryDelay(attempt: FailedAttempt): number | undefined {
    if (attempt.mayHaveRun && !attempt.repeatable) return undefined;

    if (attempt.attempts >= this.options.maximumAttempts) return undefined;
    const delay = this.drawDelay(attempt.attempts);
    if (delay >= attempt.remaining) return undefined;
    return this.budget.tryWithdraw() ? delay : undefined;
  }

  /** Full jitter: uniform between 0 and the backoff's upper bound. */
  private drawDelay(attempts: number): number {
    const bound = Math.min(MAXIMUM_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2 ** (attempts - 1));
    return this.random.nextFloat() * bound;
  }
}
