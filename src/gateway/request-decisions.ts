/** Writes the decision log lines of a gateway: how each request ended, and why. */
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
import type { FanOutStep, GatherStep, StepTimeline } from './step-timeline.js';
import type { UnreadableReport } from './attempt-sender.js';

/** Outcome of a fan-out; all fields but `timeline` and `sources` are log fields. */
export interface FanOutSummary {
  readonly status: number;
  /** Why the fan-out ended. */
  readonly reason: string;
  readonly shards: number;
  /** Number of shards missing from the response. */
  readonly missing: number;
  /** Number of attempts over all shards. */
  readonly sends: number;
  /** Number of shards that this gateway queried itself; 0 where leaves queried all of them. */
  readonly queriedByRoot: number;
  /** 90th percentile of recent timer lag. Milliseconds. */
  readonly timerLagMs: number;
  /** Part of the requests to these shards that the gateway admits, from 0 to 1. */
  readonly admittedPart: number;
  readonly timeline: StepTimeline<FanOutStep>;
  /** The sources that asked the shards. */
  readonly sources: readonly PartSource[];
}

/** Outcome of a gather for another gateway; all fields but `timeline` are log fields. */
export interface GatherSummary {
  /** The gateway that requested the gather. */
  readonly root: string;
  /** Version of the route document that the root uses. */
  readonly rootRouteVersion: number;
  readonly shards: number;
  readonly missing: number;
  readonly sends: number;
  /** Number of reports to the root. */
  readonly reports: number;
  /** Reports of them that held no part. */
  readonly emptyReports: number;
  /** Why the gather ended. */
  readonly reason: string;
  /** How late this gateway read the gather. Milliseconds. */
  readonly delayMs: number;
  /** 90th percentile of recent timer lag. Milliseconds. */
  readonly timerLagMs: number;
  /** Part of its gathers that this gateway can serve in time, as the last report said, from 0 to 1. */
  readonly admittedPart: number;
  readonly timeline: StepTimeline<GatherStep>;
}

/** Maximum attempts without a part in one log line. */
const MAXIMUM_LOGGED_ATTEMPTS = 8;

const FIRST_FAILURE_STATUS = 300;
const NOT_RUN_STATUS = 503;

function kindOfFanOut(
  summary: Omit<FanOutSummary, 'sources' | 'timeline'>,
  isLate: boolean,
): DecisionKind {
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

/** Longer load reports are truncated in the log. */
const MAXIMUM_LOGGED_REPORT_CHARACTERS = 60;
/** Longer paths are truncated in the log. */
const MAXIMUM_LOGGED_PATH_CHARACTERS = 120;

/** A request that the gateway refused before it chose a replica. */
export interface RejectedRequest {
  readonly request: HttpRequest;
  /** The caller's request id; undefined when the request carried none. */
  readonly requestId: string | undefined;
  /** Set only when the request is refused because it is quarantined. */
  readonly fingerprint: string | undefined;
  readonly refusal: GatewayRefusal;
  readonly reason: string;
  readonly status: number;
  /** How long the request waited for a decision on its tenant's limit. Milliseconds. */
  readonly waitedMs: number | undefined;
  /** Version of the route document in force; undefined while there is none. */
  readonly routeVersion: number | undefined;
}

function attemptFieldsOf(race: ReplicaRace, receivedAt: number): readonly LogFields[] {
  return race.attempts.map((attempt) => attemptFields(attempt, receivedAt));
}

/** One method per kind of event; each writes at most one line, within the line budget of the log. */
export class RequestDecisions {
  private readonly startedAt: number;
  /** Fan-outs and gathers that ended before. */
  private endedBefore = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {
    this.startedAt = clock.now();
  }

  /** Logs the end of a request to one service. */
  logSingleRequest(request: CallerRequest, race: ReplicaRace, outcome: RaceOutcome): void {
    this.log.write(kindOfRace(outcome, race.sends, this.isLate(request)), () => ({
      ...this.commonFields(request),
      service: race.service,
      sends: race.sends,
      ...(outcome.kind === 'failed' ? { reason: outcome.reason } : {}),
      attempts: attemptFieldsOf(race, request.receivedAt),
    }));
  }

  /** Logs the end of a request to all shards of a route. */
  logFanOut(request: CallerRequest, { sources, timeline, ...summary }: FanOutSummary): void {
    const kind = kindOfFanOut(summary, this.isLate(request));
    const process = this.processFields();
    this.log.write(kind, () => ({
      ...this.commonFields(request),
      ...summary,
      ...process,
      ...timeline.fields,
      missingAttempts: sources
        .flatMap((source) => source.missingAttempts(request.receivedAt))
        .slice(0, MAXIMUM_LOGGED_ATTEMPTS),
    }));
  }

  /** Logs a gather for another gateway. */
  logGather(
    request: CallerRequest,
    source: PartSource,
    { timeline, ...summary }: GatherSummary,
  ): void {
    const { missing, sends, shards } = summary;
    const isUneventful = missing === 0 && sends <= shards;
    const kind = isUneventful ? DecisionKind.GatheredAtOnce : DecisionKind.Gathered;
    const process = this.processFields();
    this.log.write(kind, () => ({
      ...this.commonFields(request),
      ...summary,
      ...process,
      ...timeline.fields,
      missingAttempts: source.missingAttempts(request.receivedAt).slice(0, MAXIMUM_LOGGED_ATTEMPTS),
    }));
  }

  /**
   * Logs that the connection to a replica ended after the request was sent and before the whole
   * response arrived.
   */
  logConnectionLost(request: CallerRequest, service: string, attempt: AttemptRecord): void {
    this.log.write(DecisionKind.ConnectionLost, () => ({
      requestId: request.id,
      fingerprint: request.fingerprint,
      service,
      ...attemptFields(attempt, request.receivedAt),
    }));
  }

  /** Logs a request that was refused without being forwarded. */
  logNotForwarded(rejected: RejectedRequest): void {
    const { request, requestId, fingerprint, refusal, reason, status, waitedMs, routeVersion } =
      rejected;
    this.log.write(DecisionKind.NotForwarded, () => ({
      requestId,
      fingerprint,
      status,
      refusal,
      reason,
      waitedMs,
      routeVersion,
      host: request.headers['host'],
      path: request.path.slice(0, MAXIMUM_LOGGED_PATH_CHARACTERS),
    }));
  }

  /**
   * Logs a request that the listener refused because it exceeds a limit or is not valid HTTP; its
   * request id is not known.
   */
  logNotRead({ status, remoteAddress }: RefusedRequest): void {
    this.log.write(DecisionKind.NotRead, () => ({ status, remoteAddress }));
  }

  /** Logs a load report that could not be parsed; the replica is treated as if it had sent none. */
  logUnreadableReport({ replicaId, text }: UnreadableReport): void {
    this.log.write(DecisionKind.UnreadableReport, () => ({
      replicaId,
      report: text.slice(0, MAXIMUM_LOGGED_REPORT_CHARACTERS),
    }));
  }

  /** How long the process has run and how much it has done: the same work costs more in a young one. */
  private processFields(): LogFields {
    const processAgeMs = Math.round(this.clock.now() - this.startedAt);
    const { endedBefore } = this;
    this.endedBefore += 1;
    return { processAgeMs, endedBefore };
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
