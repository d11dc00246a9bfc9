/** Writes what became of a request, with what decided it. */
import { DecisionKind, type DecisionLog } from '../observability/decision-log.js';
import type { LogFields } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import type { HttpRequest, RefusedRequest } from '../seams/http.js';
import { attemptFields, type AttemptRecord } from './attempt-record.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayRefusal } from './gateway-answers.js';
import type { PartSource } from './part-source.js';
import type { RaceOutcome } from './race-outcome.js';
import type { ReplicaRace } from './replica-race.js';
import { targetLatencyOf } from './route-latencies.js';
import type { UnreadableReport } from './attempt-sender.js';

/** How a fan-out ended. */
export interface FanOutSummary {
  readonly status: number;
  /** Why it ended then. */
  readonly reason: string;
  readonly shards: number;
  /** Shards that the answer lacks. */
  readonly missing: number;
  /** Sendings to replicas, of all shards together. */
  readonly sends: number;
  /** Who asked the shards. */
  readonly sources: readonly PartSource[];
}

/** How a gather for another gateway ended. */
export interface GatherSummary {
  /** The gateway that asked for it. */
  readonly root: string;
  /** Of the route document that the root works by. */
  readonly rootRouteVersion: number;
  readonly shards: number;
  readonly missing: number;
  readonly sends: number;
  /** Why it ended. */
  readonly reason: string;
}

/** Most attempts that brought no part that a line shows. */
const MAXIMUM_LOGGED_ATTEMPTS = 8;

const FIRST_FAILURE_STATUS = 300;
const NOT_RUN_STATUS = 503;

function kindOfFanOut(summary: Omit<FanOutSummary, 'sources'>, isLate: boolean): DecisionKind {
  const { status, missing, sends, shards } = summary;
  if (status === NOT_RUN_STATUS) return DecisionKind.Refused;
  if (status >= FIRST_FAILURE_STATUS) return DecisionKind.Failed;
  if (missing > 0) return DecisionKind.Partial;
  if (isLate) return DecisionKind.Late;
  return sends > shards ? DecisionKind.Hedged : DecisionKind.Answered;
}

function kindOfRace(outcome: RaceOutcome, sends: number, isLate: boolean): DecisionKind {
  if (outcome.kind === 'failed') {
    return outcome.mayHaveRun ? DecisionKind.Failed : DecisionKind.Refused;
  }
  if (isLate) return DecisionKind.Late;
  return sends > 1 ? DecisionKind.Hedged : DecisionKind.Answered;
}

/** Longest part of a load report that a line shows. */
const MAXIMUM_LOGGED_REPORT_CHARACTERS = 60;
/** Longest part of a path that a line shows. */
const MAXIMUM_LOGGED_PATH_CHARACTERS = 120;

/** A request that the gateway answered by itself, before any replica was chosen. */
export interface RejectedRequest {
  readonly request: HttpRequest;
  /** Undefined when it named none. */
  readonly requestId: string | undefined;
  /** Of what it asks; undefined where it was refused before that was looked at. */
  readonly fingerprint: string | undefined;
  readonly refusal: GatewayRefusal;
  readonly reason: string;
  readonly status: number;
  /** Of the route document in force; undefined while there is none. */
  readonly routeVersion: number | undefined;
}

function attemptFieldsOf(race: ReplicaRace, receivedAt: number): readonly LogFields[] {
  return race.attempts.map((attempt) => attemptFields(attempt, receivedAt));
}

/** See the module comment. */
export class RequestDecisions {
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** A request to one service ended. */
  logSingleRequest(request: CallerRequest, race: ReplicaRace, outcome: RaceOutcome): void {
    this.log.write(kindOfRace(outcome, race.sends, this.isLate(request)), () => ({
      ...this.commonFields(request),
      service: race.service,
      sends: race.sends,
      ...(outcome.kind === 'failed' ? { reason: outcome.reason } : {}),
      attempts: attemptFieldsOf(race, request.receivedAt),
    }));
  }

  /** A request to all shards of a route ended. */
  logFanOut(request: CallerRequest, { sources, ...summary }: FanOutSummary): void {
    const kind = kindOfFanOut(summary, this.isLate(request));
    this.log.write(kind, () => ({
      ...this.commonFields(request),
      ...summary,
      missingAttempts: sources
        .flatMap((source) => source.missingAttempts(request.receivedAt))
        .slice(0, MAXIMUM_LOGGED_ATTEMPTS),
    }));
  }

  /** Shards were asked for another gateway, and not all of them answered at the first sending. */
  logGather(request: CallerRequest, source: PartSource, summary: GatherSummary): void {
    this.log.write(DecisionKind.Gathered, () => ({
      ...this.commonFields(request),
      ...summary,
      missingAttempts: source.missingAttempts(request.receivedAt).slice(0, MAXIMUM_LOGGED_ATTEMPTS),
    }));
  }

  /** The connection to a replica ended without an answer while it had the request. */
  logConnectionLost(request: CallerRequest, service: string, attempt: AttemptRecord): void {
    this.log.write(DecisionKind.ConnectionLost, () => ({
      requestId: request.id,
      fingerprint: request.fingerprint,
      service,
      ...attemptFields(attempt, request.receivedAt),
    }));
  }

  /** A request was answered without being forwarded. */
  logNotForwarded(rejected: RejectedRequest): void {
    const { request, requestId, fingerprint, refusal, reason, status, routeVersion } = rejected;
    this.log.write(DecisionKind.NotForwarded, () => ({
      requestId,
      fingerprint,
      status,
      refusal,
      reason,
      routeVersion,
      host: request.headers['host'],
      path: request.path.slice(0, MAXIMUM_LOGGED_PATH_CHARACTERS),
    }));
  }

  /** The listener refused what it could not read as a request, before it had an id. */
  logNotRead({ status, remoteAddress }: RefusedRequest): void {
    this.log.write(DecisionKind.NotRead, () => ({ status, remoteAddress }));
  }

  /** A replica said of its load what is not understood here; it is chosen as if it had said nothing. */
  logUnreadableReport({ replicaId, text }: UnreadableReport): void {
    this.log.write(DecisionKind.UnreadableReport, () => ({
      replicaId,
      report: text.slice(0, MAXIMUM_LOGGED_REPORT_CHARACTERS),
    }));
  }

  private isLate({ route, receivedAt }: CallerRequest): boolean {
    return this.clock.now() - receivedAt > targetLatencyOf(route);
  }

  private commonFields(request: CallerRequest): LogFields {
    const now = this.clock.now();
    return {
      requestId: request.id,
      fingerprint: request.fingerprint,
      tenant: request.tenant?.name,
      route: request.route.name,
      routeVersion: request.table.version,
      elapsedMs: Math.round(now - request.receivedAt),
      targetMs: Math.round(targetLatencyOf(request.route)),
      leftMs: Math.round(request.deadline - now),
    };
  }
}
