/** Response bodies of a query: an answer, or an error with a code. */
import type { Coverage } from './coverage.js';
import type { Snapshot } from './snapshot.js';

/** Result of one shard; an answer lists them in layout order. */
export interface ShardResult {
  readonly shardId: string;
  /** The back end's reply body, parsed. */
  readonly result: unknown;
}

/** Number of attempts that a query sent to replicas, by kind. */
export interface AttemptCounts {
  /** First attempts, at most one for each shard in each execution of the query. */
  readonly primary: number;
  readonly hedges: number;
  readonly retries: number;
}

/** Body of a successful response, HTTP 200. */
export interface QueryAnswer {
  readonly requestId: string;
  readonly service: string;
  readonly snapshot: Snapshot;
  readonly coverage: Coverage;
  /** Revision of the settings under which the query was planned. */
  readonly settingsRevision: number;
  /** Present when no configuration source could confirm that this revision is the latest. */
  readonly settingsStale?: true;
  readonly attempts: AttemptCounts;
  readonly results: readonly ShardResult[];
}

/** Why a query ended without an answer. */
export type QueryErrorCode =
  /** The request is invalid; nothing ran. HTTP 400, 404, 405, 408, 413, 431. */
  | 'bad_request'
  /** No back end started the request. HTTP 429 or 503. */
  | 'refused_not_run'
  /** Too few shards answered; a repeatable request may be retried. HTTP 503. */
  | 'insufficient_coverage'
  /** The request ran, or may have run, and failed; a repeatable one may be retried. HTTP 502 or 504. */
  | 'failed'
  /** A request that is not repeatable may have run; its outcome is unknown. HTTP 504. */
  | 'outcome_unknown';

/** Body of every response that is not an answer. */
export interface QueryErrorBody {
  readonly error: {
    readonly code: QueryErrorCode;
    readonly message: string;
    readonly requestId?: string;
    readonly service?: string;
    /** Whether any back end may have started the request. */
    readonly mayHaveRun: boolean;
    /** Time after which to retry; also sent as `retry-after` in whole seconds. Milliseconds. */
    readonly retryAfterMs?: number;
    /** Path of the invalid field, for `bad_request`. */
    readonly path?: string;
    /** Coverage reached by the execution; absent when this request was not executed. */
    readonly coverage?: Coverage;
    readonly settingsRevision?: number;
  };
}
