/**
 * One try of a query: asks every shard of the plan at once, waits as the
 * completion policy says, cancels the rest and states the coverage.
 */
import { setMaxListeners } from 'node:events';
import type { MissingReason } from '../model/coverage.js';
import type { CompletionPolicy } from '../policies/completion-policy.js';
import type { AttemptTally } from './attempt-tally.js';
import { stateCoverage, type ShardStanding } from './coverage-statement.js';
import type { ExecutionEnding, ExecutionResult, ReachedShard } from './execution-result.js';
import type { QueryContext } from './query-context.js';
import type { QueryPlan } from './query-plan.js';
import { ReplyBuffer } from './reply-buffer.js';
import type { RouterContext } from './router-context.js';
import { ShardExecution } from './shard-execution.js';
import type { ShardOutcome } from './shard-outcome.js';
import { requiredShardCount } from './snapshot-planner.js';
import { Wakeup } from './wakeup.js';

/** Runs one try. Used once. */
export class QueryExecution {
  private readonly ended = new AbortController();
  private readonly wakeup: Wakeup;
  private readonly replies: ReplyBuffer;
  private readonly shards: readonly ShardExecution[];
  private readonly outcomes: (ShardOutcome | undefined)[];
  private readonly needed: number;
  private readonly askedAt: number;
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
    setMaxListeners(0, this.ended.signal);
    this.wakeup = new Wakeup(router.environment.clock);
    const { maximumAnswerBytes } = query.service.settings;
    this.replies = new ReplyBuffer(maximumAnswerBytes, () => this.wakeup.wake());
    // Each shard that waits for a connection or for a retry listens once.
    setMaxListeners(plan.shards.length + 1, this.ended.signal);
    const queryTry = { plan, tally, replies: this.replies, ended: this.ended.signal };
    this.shards = plan.shards.map((shard) => new ShardExecution(router, query, queryTry, shard));
    this.outcomes = this.shards.map(() => undefined);
    this.needed = requiredShardCount(query.requiredCoverage, this.shards.length);
    this.pending = this.shards.length;
    this.askedAt = router.environment.clock.now();
  }

  /** Ends at the query's deadline at the latest. Aborting `signal` cancels every attempt. */
  async run(signal: AbortSignal): Promise<ExecutionResult> {
    const onAbort = (): void => this.wakeup.wake();
    signal.addEventListener('abort', onAbort, { once: true });
    const tasks = this.shards.map((shard, index) => this.runShard(shard, index));
    const ending = await this.waitForEnding(signal);
    signal.removeEventListener('abort', onAbort);
    this.ended.abort();
    this.outcomes.forEach((outcome) => {
      if (outcome === undefined) this.completion.recordUnfinished(this.sinceAsked);
    });
    for (const shard of this.shards) shard.cancel();
    const sufficient = this.isSufficient && ending !== 'answer_too_large' && ending !== 'cancelled';
    // Only once every attempt has ended is it known whether any byte left.
    if (!sufficient) await Promise.all(tasks);
    return this.result(ending, sufficient);
  }

  private async runShard(shard: ShardExecution, index: number): Promise<void> {
    const outcome = await shard.run();
    if (this.ended.signal.aborted) return;
    this.pending -= 1;
    this.outcomes[index] = outcome;
    if (outcome.kind === 'answered') {
      this.reached += 1;
      this.completion.recordReply(this.sinceAsked);
      this.answerBytes += outcome.bytes;
    }
    if (this.mayEnd(outcome)) this.wakeup.wake();
  }

  /** Whether the outcome can change the decision to wait; most replies cannot. */
  private mayEnd(outcome: ShardOutcome): boolean {
    return outcome.kind === 'missing' || this.isSufficient || this.pending === 0 || this.isTooLarge;
  }

  private get completion(): CompletionPolicy {
    return this.query.service.policies.completion;
  }

  /** Milliseconds. */
  private get sinceAsked(): number {
    return this.router.environment.clock.now() - this.askedAt;
  }

  private get isSufficient(): boolean {
    return this.reached >= this.needed;
  }

  private get isTooLarge(): boolean {
    const { maximumAnswerBytes } = this.query.service.settings;
    return this.replies.isExceeded || this.answerBytes > maximumAnswerBytes;
  }

  private async waitForEnding(signal: AbortSignal): Promise<ExecutionEnding> {
    for (;;) {
      if (signal.aborted) return 'cancelled';
      if (this.isTooLarge) return 'answer_too_large';
      if (this.reached + this.pending < this.needed) return 'unreachable';
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
      sinceAsked: this.sinceAsked,
      remaining,
    });
    return Math.min(furtherWait, remaining);
  }

  private result(ending: ExecutionEnding, sufficient: boolean): ExecutionResult {
    const standings = this.shards.map((_, index) => this.standing(index, ending));
    return {
      plan: this.plan,
      ending,
      sufficient,
      coverage: stateCoverage(standings, this.query.requiredCoverage),
      results: sufficient ? this.results() : [],
      mayHaveRun: this.shards.some((shard) => shard.mayHaveRun),
      snapshotLacking: this.shards.some(
        (shard, index) => this.outcomes[index]?.kind === 'missing' && shard.isSnapshotLacking,
      ),
    };
  }

  private standing(index: number, ending: ExecutionEnding): ShardStanding {
    const shardId = this.plan.shards[index]?.shardId ?? '';
    const outcome = this.outcomes[index];
    const claimed = this.router.faults.claimUnreachedShard || outcome?.kind === 'answered';
    if (claimed) return { shardId, missing: undefined };
    const pendingReason: MissingReason = ending === 'deadline' ? 'deadline' : 'not_waited_for';
    return { shardId, missing: outcome?.kind === 'missing' ? outcome.reason : pendingReason };
  }

  private results(): ReachedShard[] {
    const results: ReachedShard[] = [];
    this.plan.shards.forEach(({ shardId }, index) => {
      const outcome = this.outcomes[index];
      if (outcome?.kind !== 'answered') return;
      results.push({ shardId, resultText: outcome.resultText });
    });
    return results;
  }
}
