/**
 * One shard's part of one query: a first attempt, a hedge when it is slow, and
 * retries when it fails, each at another replica where there is one. A request
 * that is not repeatable is never hedged, and is not retried once an attempt
 * may have been run.
 */
import type { ReplicaRecord } from '../membership/replica-record.js';
import { waitForRoom } from '../membership/wait-for-room.js';
import type { MissingReason } from '../model/coverage.js';
import { failedAttempt, type AttemptKind, type AttemptOutcome } from './attempt-outcome.js';
import { BackendAttempt } from './backend-attempt.js';
import type { ShardView } from './layout-view.js';
import type { QueryContext } from './query-context.js';
import type { ExecutionContext } from './execution-context.js';
import type { RouterContext } from './router-context.js';
import { ShardCandidates } from './shard-candidates.js';
import type { ShardOutcome } from './shard-outcome.js';

interface RunningAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  cancel(): void;
}

/** Runs one shard's part. */
export class ShardExecution {
  /** Whether any attempt so far may have been run; kept after the end. */
  mayHaveRun = false;
  private attempts = 0;
  private readonly candidates: ShardCandidates;
  private readonly running = new Set<AbortController>();

  constructor(
    private readonly router: RouterContext,
    private readonly query: QueryContext,
    private readonly execution: ExecutionContext,
    private readonly shard: ShardView,
  ) {
    this.candidates = new ShardCandidates(
      router.registry,
      query.service.policies.outlierEjection,
      shard,
      execution.plan.snapshotText,
    );
  }

  /** Ends with the first verified answer, or when nothing more may be tried. Never throws. */
  async run(): Promise<ShardOutcome> {
    let outcome = await this.attemptOnce('primary');
    while (outcome.kind === 'failed') {
      const { reason } = outcome;
      const delay = this.mayRetry() ? this.retryDelay(reason) : undefined;
      if (delay === undefined) return { kind: 'missing', reason };
      await this.router.environment.clock
        .sleep(delay, this.execution.endSignal)
        .catch(() => undefined);
      if (this.execution.endSignal.aborted) return { kind: 'missing', reason };
      outcome = await this.attemptOnce('retry');
    }
    return outcome;
  }

  /** Whether a replica of the shard could answer from another snapshot only. */
  get hasReplicaWithoutSnapshot(): boolean {
    return this.candidates.hasReplicaWithoutSnapshot;
  }

  /** Cancels whatever is in flight. */
  cancel(): void {
    for (const controller of this.running) controller.abort();
  }

  /** Launches at a replica with a free connection, waiting for one until the query ends. */
  private async attemptOnce(kind: AttemptKind): Promise<AttemptOutcome> {
    for (;;) {
      const preferred = this.candidates.preferred();
      if (preferred.length === 0) return failedAttempt(this.candidates.missingReason(), false);
      // No await between the choice and the launch, so that two tasks never take one connection.
      const record = this.select(preferred.filter((each) => each.hasRoom));
      if (record !== undefined) return this.launchWithHedge(kind, record);
      await waitForRoom(preferred, this.execution.endSignal);
      if (this.execution.endSignal.aborted) return failedAttempt('not_waited_for', false);
    }
  }

  private async launchWithHedge(kind: AttemptKind, record: ReplicaRecord): Promise<AttemptOutcome> {
    if (kind === 'primary') this.recordPrimary();
    const first = this.launch(kind, record);
    const delay = this.hedgeDelay();
    if (delay === undefined) return first.outcome;
    const early = await this.outcomeWithin(first, delay);
    if (early !== undefined) return early;
    const hedge = this.launchHedge();
    return hedge === undefined ? first.outcome : this.firstAnswered(first, hedge);
  }

  private select(records: readonly ReplicaRecord[]): ReplicaRecord | undefined {
    const view = this.query.service.policies.replicaSelector.select(records);
    return records.find((record) => record === view);
  }

  private launch(kind: AttemptKind, record: ReplicaRecord): RunningAttempt {
    this.attempts += 1;
    this.execution.tally.add(kind);
    this.candidates.markTried(record);
    const { metrics, faults } = this.router;
    metrics.attempts.inc({ service: this.query.service.definition.name, kind });
    const pinned = this.execution.plan.snapshotText;
    const snapshot = faults.mergeAcrossSnapshots ? newestHeldSnapshot(record, pinned) : pinned;
    const target = { record, shardId: this.shard.shardId, snapshot };
    const controller = new AbortController();
    this.running.add(controller);
    const attempt = new BackendAttempt(this.router, this.query, target, this.execution.replyMemory);
    const outcome = attempt.run(controller.signal).then((result) => {
      this.running.delete(controller);
      this.recordOutcome(result);
      return result;
    });
    return { outcome, cancel: () => controller.abort() };
  }

  private recordOutcome(outcome: AttemptOutcome): void {
    if (outcome.kind === 'answered' || outcome.mayHaveRun) this.mayHaveRun = true;
  }

  private recordPrimary(): void {
    const { hedge, retry } = this.query.service.policies;
    hedge.recordFirstAttempt(this.shard.shardId);
    retry.recordFirstAttempt();
  }

  private hedgeDelay(): number | undefined {
    if (!this.query.request.repeatable) return undefined;
    const { policies, settings } = this.query.service;
    if (this.attempts >= settings.maximumAttemptsPerShard) return undefined;
    return policies.hedge.hedgeDelay(this.shard.shardId);
  }

  private launchHedge(): RunningAttempt | undefined {
    if (this.execution.endSignal.aborted) return undefined;
    const record = this.select(this.candidates.hedgeCandidates());
    if (record === undefined) return undefined;
    if (!this.query.service.policies.hedge.tryTakeBudget()) return undefined;
    return this.launch('hedge', record);
  }

  /** The attempt's outcome, or undefined when it takes longer than `delay` milliseconds. */
  private outcomeWithin(
    attempt: RunningAttempt,
    delay: number,
  ): Promise<AttemptOutcome | undefined> {
    return new Promise((resolve) => {
      const timer = this.router.environment.clock.setTimer(delay, () => resolve(undefined));
      void attempt.outcome.then((outcome) => {
        timer.cancel();
        resolve(outcome);
      });
    });
  }

  /** The first answer of two attempts, the other cancelled; the later failure when both fail. */
  private async firstAnswered(
    first: RunningAttempt,
    second: RunningAttempt,
  ): Promise<AttemptOutcome> {
    const [outcome, other] = await Promise.race([
      first.outcome.then((result) => [result, second] as const),
      second.outcome.then((result) => [result, first] as const),
    ]);
    if (outcome.kind === 'failed') return other.outcome;
    other.cancel();
    return outcome;
  }

  /** Whether anything but the retry policy stands against another attempt. */
  private mayRetry(): boolean {
    if (this.execution.endSignal.aborted || this.candidates.holders().length === 0) return false;
    if (this.attempts >= this.query.service.settings.maximumAttemptsPerShard) return false;
    return this.treatAsRepeatable || !this.mayHaveRun;
  }

  private get treatAsRepeatable(): boolean {
    return this.query.request.repeatable || this.router.faults.retryNotRepeatable;
  }

  /**
   * When to try again; undefined for never. A replica that lacks the snapshot
   * spent nothing on the request and drops out of the candidates, so the next
   * one is asked at once and no budget is charged.
   */
  private retryDelay(reason: MissingReason): number | undefined {
    if (reason === 'snapshot_not_held') return 0;
    const { clock } = this.router.environment;
    return this.query.service.policies.retry.retryDelay({
      shardId: this.shard.shardId,
      attempts: this.attempts,
      mayHaveRun: this.mayHaveRun,
      repeatable: this.treatAsRepeatable,
      remaining: this.query.deadlineAt - clock.now(),
    });
  }
}

/** The last of the replica's snapshots, `otherwise` when it holds none. */
function newestHeldSnapshot(record: ReplicaRecord, fallback: string): string {
  return [...record.heldSnapshots()].at(-1) ?? fallback;
}
