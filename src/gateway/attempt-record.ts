/** What one sending to a replica went by and what became of it, for the decision log. */
import type { LogFields } from '../observability/logger.js';
import type { AttemptResult } from './attempt-result.js';
import type { ReplicaTarget } from './replica-target.js';

/** What was known of the replica when it was chosen. */
export interface ChoiceInputs {
  readonly replicaId: string;
  /** Registration of the replica that was known, by its sequence. */
  readonly sequence: number;
  /** Known only from a controller's disk, not from its own heartbeat. */
  readonly restored: boolean;
  /** Expected time over the usual time. */
  readonly slowness: number;
  /** Attempts in flight from here, this one not counted. */
  readonly inFlight: number;
  /** Requests at the replica as it last said; undefined when it never did. */
  readonly reported: number | undefined;
  /** Age of that word. Milliseconds. */
  readonly reportedAgeMs: number | undefined;
}

/** One sending. */
export interface AttemptRecord {
  readonly inputs: ChoiceInputs;
  readonly sentAt: number;
  /** When it was written to a connection, and from when the replica may run it; undefined before. */
  connectedAt: number | undefined;
  /** Undefined while it is in flight. */
  endedAt: number | undefined;
  result: AttemptResult | undefined;
}

const SLOWNESS_PRECISION = 10;

/** What decides a choice of `target` now. */
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

/** What became of an attempt, in a word or two. */
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

/** As the log shows it; times count from `receivedAt`. */
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
