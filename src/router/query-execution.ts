/**
 * One try of a query: asks every shard of the plan at once, waits as the
 * completion policy says, cancels the rest and states the coverage.
 */
import { setMaxListeners } from 'node:events';
import type { MissingReason } from '../model/coverage.js';
import type { CompletionPolicy } from '../policies/completion-policy.js';
import type { AttemptTally } from './attempt-tally.js';
import { computeCoverage, type ShardCoverage } from './compute-coverage.js';
import type { ExecutionEndReason, ExecutionResult, ReachedShard } from './execution-result.js';
import type { QueryContext } from './query-context.js';
import type { QueryPlan } from './query-plan.js';
import { ReplyMemoryBudget } from './reply-memory-budget.js';
import type { RouterContext } from './router-context.js';
import { ShardExecution } from './shard-execution.js';
import type { ShardOutcome } from './shard-outcome.js';
import { requiredShardCount } from './snapshot-planner.js';
import { Wakeup } from './wakeup.js';

/** Runs one try. Used once. */
export class QueryExecution {
  private readonly endController = new AbortController();
  private readonly wakeup: Wakeup;
  private readonly replyMemory: ReplyMemoryBudget;
  private readonly shards: readonly ShardExecution[];
  private readonly outcomes: (ShardOutcome | undefined)[];
  private readonly requiredShards: number;
  private readonly startedAt: number;
  private reached = 0;
  private pending: number;
  private answerBytes = 0;

  constructor(
    private readonly router: RouterContext,
    private readonly query: QueryContext,
    private readonly plan: QueryPlan,
    tally: AttemptTally,
  ) {
    // Every shard may wait on it at the same time.
    setMaxListeners(0, this.endController.signal);
    this.wakeup = new Wakeup(router.environment.clock);
    const { maximumAnswerBytes } = query.service.settings;
    this.replyMemory = new ReplyMemoryBudget(maximumAnswerBytes, () => this.wakeup.wake());
    // Each shard that waits for a connection or for a retry listens once.
    setMaxListeners(plan.shards.length + 1, this.endController.signal);
    const execution = {
      plan,
      tally,
      replyMemory: this.replyMemory,
      endSignal: this.endController.signal,
    };
    this.shards = plan.shards.map((shard) => new ShardExecution(router, query, execution, shard));
    this.outcomes = this.shards.map(() => undefined);
    this.requiredShards = requiredShardCount(query.requiredCoverage, this.shards.length);
    this.pending = this.shards.length;
    this.startedAt = router.environment.clock.now();
  }

  /** Ends at the query's deadline at the latest. Aborting `signal` cancels every attempt. */
  async run(signal: AbortSignal): Promise<ExecutionResult> {
    const onAbort = (): void => this.wakeup.wake();
    signal.addEventListener('abort', onAbort, { once: true });
    const tasks = this.shards.map((shard, index) => this.runShard(shard, index));
    const endReason = await this.waitForEnd(signal);
    signal.removeEventListener('abort', onAbort);
    this.endController.abort();
    this.outcomes.forEach((outcome) => {
      if (outcome === undefined) this.completion.recordUnfinished(this.sinceStart);
    });
    for (const shard of this.shards) shard.cancel();
    const sufficient =
      this.isSufficient && endReason !== 'answer_too_large' && endReason !== 'cancelled';
    // Only once every attempt has ended is it known whether any byte left.
    if (!sufficient) await Promise.all(tasks);
    return this.createResult(endReason, sufficient);
  }

  private async runShard(shard: ShardExecution, index: number): Promise<void> {
    const outcome = await shard.run();
    if (this.endController.signal.aborted) return;
    this.pending -= 1;
    this.outcomes[index] = outcome;
    if (outcome.kind === 'answered') {
      this.reached += 1;
      this.completion.recordReply(this.sinceStart);
      this.answerBytes += outcome.bytes;
    }
    if (this.mayEndWait(outcome)) this.wakeup.wake();
  }

  /** Whether the outcome can change the decision to wait; most replies cannot. */
  private mayEndWait(outcome: ShardOutcome): boolean {
    return (
      outcome.kind === 'missing' || this.isSufficient || this.pending === 0 || this.isAnswerTooLarge
    );
  }

  private get completion(): CompletionPolicy {
    return this.query.service.policies.completion;
  }

  /** Milliseconds. */
  private get sinceStart(): number {
    return this.router.environment.clock.now() - this.startedAt;
  }

  private get isSufficient(): boolean {
    return this.reached >= this.requiredShards;
  }

  private get isAnswerTooLarge(): boolean {
    const { maximumAnswerBytes } = this.query.service.settings;
    return this.replyMemory.isExceeded || this.answerBytes > maximumAnswerBytes;
  }

  private async waitForEnd(signal: AbortSignal): Promise<ExecutionEndReason> {
    for (;;) {
      if (signal.aborted) return 'cancelled';
      if (this.isAnswerTooLarge) return 'answer_too_large';
      if (this.reached + this.pending < this.requiredShards) return 'unreachable';
      if (this.pending === 0) return 'complete';
      const remaining = this.query.deadlineAt - this.router.environment.clock.now();
      if (remaining <= 0) return 'deadline';
      const wait = this.isSufficient ? this.furtherWait(remaining) : remaining;
      const woken = wait > 0 && (await this.wakeup.wait(wait));
      if (!woken) return wait < remaining ? 'sufficient' : 'deadline';
    }
  }

  private furtherWait(remaining: number): number {
    const { query } = this;
    const furtherWait = this.completion.furtherWait({
      shardCount: this.shards.length,
      reached: this.reached,
      pending: this.pending,
      requiredCoverage: query.requiredCoverage,
      elapsed: this.router.environment.clock.now() - query.receivedAt,
      sinceAsked: this.sinceStart,
      remaining,
    });
    return Math.min(furtherWait, remaining);
  }

  private createResult(endReason: ExecutionEndReason, sufficient: boolean): ExecutionResult {
    const shards = this.shards.map((_, index) => this.shardCoverage(index, endReason));
    return {
      plan: this.plan,
      endReason: endReason,
      sufficient,
      coverage: computeCoverage(shards, this.query.requiredCoverage),
      results: sufficient ? this.reachedShards() : [],
      mayHaveRun: this.shards.some((shard) => shard.mayHaveRun),
      hasReplicaWithoutSnapshot: this.shards.some(
        (shard, index) =>
          this.outcomes[index]?.kind === 'missing' && shard.hasReplicaWithoutSnapshot,
      ),
    };
  }

  private shardCoverage(index: number, endReason: ExecutionEndReason): ShardCoverage {
    const shardId = this.plan.shards[index]?.shardId ?? '';
    const outcome = this.outcomes[index];
    const isReached = this.router.faults.claimUnreachedShard || outcome?.kind === 'answered';
    if (isReached) return { shardId, missing: undefined };
    const pendingReason: MissingReason = endReason === 'deadline' ? 'deadline' : 'not_waited_for';
    return { shardId, missing: outcome?.kind === 'missing' ? outcome.reason : pendingReason };
  }

  private reachedShards(): ReachedShard[] {
    const results: ReachedShard[] = [];
    this.plan.shards.forEach(({ shardId }, index) => {
      const outcome = this.outcomes[index];
      if (outcome?.kind !== 'answered') return;
      results.push({ shardId, resultText: outcome.resultText });
    });
    return results;
  }
}
