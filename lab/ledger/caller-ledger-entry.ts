/** What one stand-in caller noted about one request it sent. */
import type { QueryAnswer, QueryErrorBody, QueryErrorCode } from '../../src/model/query-answer.js';

/** How a request ended for its caller. */
export type CallerOutcome =
  | 'answered'
  | QueryErrorCode
  /** No connection; nothing was sent. */
  | 'connect_failed'
  /** The connection broke after the request was sent and before the response was whole. */
  | 'connection_lost'
  /** No response by the deadline and a grace period after it. */
  | 'timed_out'
  /** A response that is not of the documented shape. */
  | 'malformed_response';

/** One request as its caller saw it. Times are wall-clock milliseconds. */
export interface CallerLedgerEntry {
  readonly caller: string;
  /** Name of the router it was sent to. */
  readonly target: string;
  readonly service: string;
  readonly requestId: string;
  /** Joins the entry with those of back ends. */
  readonly queryDigest: string;
  readonly repeatable: boolean;
  /** Whether the request was aimed at one shard by a key. */
  readonly keyed: boolean;
  /** Least coverage the caller itself asked for. */
  readonly requiredCoverage?: number;
  readonly deadlineMs: number;
  /** When the schedule wanted it sent; latency counts from here. */
  readonly scheduledAt: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** From the scheduled time to the end, on the monotonic clock. Milliseconds. */
  readonly latencyMs: number;
  readonly outcome: CallerOutcome;
  /** HTTP status; absent when there was no response. */
  readonly status?: number;
  readonly answer?: QueryAnswer;
  readonly error?: QueryErrorBody['error'];
}
