/** A query from admission to its answer or typed error. */
import type { AdmissionTicket } from '../policies/admission-policy.js';
import { serializeAnswer } from './answer-serializer.js';
import { AttemptTally } from './attempt-tally.js';
import type { ExecutionResult } from './execution-result.js';
import type { QueryContext } from './query-context.js';
import { QueryError, refusedNotRun } from './query-error.js';
import { QueryExecution } from './query-execution.js';
import type { QueryPlan } from './query-plan.js';
import type { RouterContext } from './router-context.js';

/** When to come back after a refusal for want of replicas, or after too few replies. Milliseconds. */
export const RETRY_AFTER_MS = 1_000;
const STATUS_TOO_MANY_REQUESTS = 429;
const NO_SNAPSHOTS: ReadonlySet<string> = new Set();

/** Serves one query. Used once. */
export class QueryPipeline {
  private readonly tally = new AttemptTally();
  /** Over all tries. */
  private mayHaveRun = false;

  constructor(
    private readonly router: RouterContext,
    private readonly query: QueryContext,
  ) {}

  /**
   * The answer's JSON text.
   *
   * @throws QueryError for every other end.
   */
  async run(signal: AbortSignal): Promise<string> {
    const ticket = await this.admit(signal);
    const admittedAt = this.router.environment.clock.now();
    try {
      return await this.execute(signal);
    } finally {
      ticket.release(this.router.environment.clock.now() - admittedAt);
    }
  }

  private get remaining(): number {
    return this.query.deadlineAt - this.router.environment.clock.now();
  }

  private async admit(signal: AbortSignal): Promise<AdmissionTicket> {
    const { request, service } = this.query;
    const { team } = request;
    const admission = service.policies.admission;
    const decision = await admission.admit({ team, remaining: this.remaining, signal });
    if ('release' in decision) return decision;
    this.router.metrics.refusals.inc({ reason: 'admission' });
    throw refusedNotRun(decision.reason, decision.retryAfter, STATUS_TOO_MANY_REQUESTS);
  }

  private async execute(signal: AbortSignal): Promise<string> {
    const first = await this.executePlan(this.plan(NO_SNAPSHOTS), signal);
    if (first.sufficient) return this.serializeResult(first);
    const secondPlan = this.replan(first, signal);
    if (secondPlan === undefined) throw this.createError(first);
    this.router.metrics.replannedQueries.inc();
    const second = await this.executePlan(secondPlan, signal);
    if (second.sufficient) return this.serializeResult(second);
    throw this.createError(second);
  }

  private plan(excluded: ReadonlySet<string>): QueryPlan {
    const plan = this.findPlan(excluded);
    if (plan !== undefined && this.remaining > 0) return plan;
    const refusalReason = plan === undefined ? 'no_snapshot' : 'deadline';
    this.router.metrics.refusals.inc({ reason: refusalReason });
    throw refusedNotRun(
      plan === undefined
        ? 'no snapshot is held by enough live replicas for the required coverage'
        : 'the deadline passed before anything could be sent',
      RETRY_AFTER_MS,
    );
  }

  private findPlan(excluded: ReadonlySet<string>): QueryPlan | undefined {
    const { requiredCoverage, request, service } = this.query;
    return service.planner.plan({ requiredCoverage, key: request.key, excluded });
  }

  /** A second plan on another snapshot, for a repeatable query that misses shards for its own. */
  private replan(first: ExecutionResult, signal: AbortSignal): QueryPlan | undefined {
    if (!this.query.request.repeatable || !first.hasReplicaWithoutSnapshot) return undefined;
    if (signal.aborted || this.remaining <= 0) return undefined;
    return this.findPlan(new Set([first.plan.snapshotText]));
  }

  private async executePlan(plan: QueryPlan, signal: AbortSignal): Promise<ExecutionResult> {
    const execution = new QueryExecution(this.router, this.query, plan, this.tally);
    const result = await execution.run(signal);
    this.mayHaveRun ||= result.mayHaveRun;
    return result;
  }

  private serializeResult(result: ExecutionResult): string {
    const { request, service, settingsStale } = this.query;
    return serializeAnswer(
      {
        requestId: request.requestId,
        service: service.definition.name,
        snapshot: result.plan.snapshot,
        coverage: result.coverage,
        settingsRevision: service.revision,
        ...(settingsStale ? { settingsStale } : {}),
        attempts: this.tally,
      },
      result.results,
    );
  }

  /** The typed error of a try that brought no answer; given at once, with when to come back. */
  private createError(result: ExecutionResult): QueryError {
    const { coverage, endReason: ending, plan } = result;
    const mayHaveRun = this.mayHaveRun && !this.router.faults.claimNotRunAfterSending;
    const context = { step: 'execute' };
    const details = { retryAfterMs: RETRY_AFTER_MS, coverage };
    const message = errorMessage(result);
    if (!mayHaveRun) {
      this.router.metrics.refusals.inc({ reason: 'not_started' });
      return new QueryError('refused_not_run', 503, message, false, details, context);
    }
    if (!this.query.request.repeatable) {
      return new QueryError('outcome_unknown', 504, message, true, { coverage }, context);
    }
    if (ending === 'answer_too_large') {
      return new QueryError('failed', 502, message, true, { coverage }, context);
    }
    if (plan.shards.length > 1) {
      return new QueryError('insufficient_coverage', 503, message, true, details, context);
    }
    const status = ending === 'deadline' ? 504 : 502;
    return new QueryError('failed', status, message, true, details, context);
  }
}

function errorMessage({ endReason: ending, coverage }: ExecutionResult): string {
  if (ending === 'answer_too_large') return 'the answer is larger than maximumAnswerBytes';
  if (ending === 'cancelled') return 'the query was cancelled';
  const total = coverage.reached.length + coverage.missing.length;
  const reached = `${coverage.reached.length} of ${total} shards answered`;
  return ending === 'deadline' ? `${reached} before the deadline` : reached;
}
