/** Writes what became of a request, with what decided it. */
import { DecisionKind, type DecisionLog } from '../observability/decision-log.js';
import type { LogFields } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import type { CallerRequest } from './caller-request.js';
import type { RaceOutcome } from './replica-race.js';

/** How a fan-out ended. */
export interface FanOutSummary {
  readonly status: number;
  readonly shards: number;
  /** Shards that the answer lacks. */
  readonly missing: number;
  /** Sendings to replicas, of all shards together. */
  readonly sends: number;
}

const FIRST_FAILURE_STATUS = 300;
const NOT_RUN_STATUS = 503;

function kindOfFanOut({ status, missing, sends, shards }: FanOutSummary): DecisionKind {
  if (status === NOT_RUN_STATUS) return DecisionKind.Refused;
  if (status >= FIRST_FAILURE_STATUS) return DecisionKind.Failed;
  if (missing > 0) return DecisionKind.Partial;
  return sends > shards ? DecisionKind.Hedged : DecisionKind.Answered;
}

function kindOfRace(outcome: RaceOutcome, sends: number): DecisionKind {
  if (outcome.kind === 'answered') return sends > 1 ? DecisionKind.Hedged : DecisionKind.Answered;
  return outcome.mayHaveRun ? DecisionKind.Failed : DecisionKind.Refused;
}

/** See the module comment. */
export class RequestDecisions {
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** A request to one service ended. */
  attempted(request: CallerRequest, service: string, sends: number, outcome: RaceOutcome): void {
    this.log.write(kindOfRace(outcome, sends), () => ({
      ...this.common(request),
      service,
      sends,
      ...(outcome.kind === 'failed' ? { reason: outcome.reason } : {}),
    }));
  }

  /** A request to all shards of a route ended. */
  fannedOut(request: CallerRequest, summary: FanOutSummary): void {
    this.log.write(kindOfFanOut(summary), () => ({ ...this.common(request), ...summary }));
  }

  private common(request: CallerRequest): LogFields {
    const now = this.clock.now();
    return {
      requestId: request.id,
      route: request.route.name,
      routeVersion: request.table.version,
      elapsedMs: Math.round(now - request.receivedAt),
      leftMs: Math.round(request.deadline - now),
    };
  }
}
