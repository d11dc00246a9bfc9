/** Records the inputs, times and result of one attempt for the decision log. */
import type { LogFields } from '../observability/logger.js';
import type { AttemptResult } from './attempt-result.js';
import type { ReplicaTarget } from './replica-target.js';

/** State of the replica when it was chosen. Every field is a key of the decision log. */
export interface ChoiceInputs {
  readonly replicaId: string;
  /** Sequence number of the registration in use. */
  readonly sequence: number;
  /**
   * Whether the registration comes only from a controller's stored data, without a heartbeat since.
   */
  readonly restored: boolean;
  /** Expected latency divided by the median latency. */
  readonly slowness: number;
  /** Attempts in flight from this gateway, excluding this one. */
  readonly inFlight: number;
  /** Requests running or queued at the replica by its last load report; undefined without one. */
  readonly reported: number | undefined;
  /** Age of that load report. Milliseconds. */
  readonly reportedAgeMs: number | undefined;
}

/** One attempt. Times are clock readings in milliseconds. */
export interface AttemptRecord {
  readonly inputs: ChoiceInputs;
  readonly sentAt: number;
  /**
   * When the request was written to a connection; the replica may run it from then on. Undefined
   * before.
   */
  connectedAt: number | undefined;
  /** Undefined while the attempt is in flight. */
  endedAt: number | undefined;
  result: AttemptResult | undefined;
}

/** Slowness is rounded to tenths. */
const SLOWNESS_PRECISION = 10;

/** Returns the current state of `target`, to record it with a choice. */
export function choiceInputs(target: ReplicaTarget, now: number): ChoiceInputs {
  const { entry, load, inFlight } = target;
  return {
    replicaId: entry.replicaId,
    sequence: entry.sequence,
    restored: entry.restored === true,
    slowness: Math.round(target.slownessAt(now) * SLOWNESS_PRECISION) / SLOWNESS_PRECISION,
    inFlight,
    reported: load === undefined ? undefined : load.running + load.waiting,
    reportedAgeMs: load === undefined ? undefined : Math.round(now - load.at),
  };
}

/** Formats a result for the log field `result`. */
export function describeResult(result: AttemptResult | undefined): string {
  if (result === undefined) return 'in flight';
  switch (result.kind) {
    case 'notRun':
    case 'broken':
      return `${result.kind}: ${result.reason}`;
    case 'failedAnswer':
      return `${result.kind}: ${result.answer.status}`;
    default:
      return result.kind;
  }
}

/** Returns the log fields of an attempt; `sentAtMs` counts from `receivedAt`. */
export function attemptFields(record: AttemptRecord, receivedAt: number): LogFields {
  const { inputs, sentAt, connectedAt, endedAt, result } = record;
  return {
    ...inputs,
    sentAtMs: Math.round(sentAt - receivedAt),
    connectMs: connectedAt === undefined ? undefined : Math.round(connectedAt - sentAt),
    tookMs: endedAt === undefined ? undefined : Math.round(endedAt - sentAt),
    result: describeResult(result),
  };
}
