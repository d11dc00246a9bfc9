/** Retries within a budget, after a jittered, growing delay, while the deadline allows. */
import type { RandomSource } from '../seams/random-source.js';
import { AttemptBudget } from './attempt-budget.js';
import type { FailedAttempt, RetryPolicy } from './retry-policy.js';

/** Upper bound of the delay before the first retry; doubles with each further one. Milliseconds. */
const BASE_RETRY_DELAY_MS = 2;
/** Upper bound of any delay. Milliseconds. */
const MAXIMUM_RETRY_DELAY_MS = 100;
/** Retries a service with few requests can make before it has earned any. */
const INITIAL_RESERVE = 10;
/** Most retries saved up. */
const MAXIMUM_RESERVE = 50;

/** Limits of {@link BudgetedRetryPolicy}. */
export interface BudgetedRetryOptions {
  readonly budgetPercent: number;
  readonly maximumAttempts: number;
}

/** Keeps retries a bounded share of first attempts, so that they cannot keep an overload going. */
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

  /** Full jitter: anything from 0 to the bound. */
  private drawDelay(attempts: number): number {
    const bound = Math.min(MAXIMUM_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2 ** (attempts - 1));
    return this.random.nextFloat() * bound;
  }
}
