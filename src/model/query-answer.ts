/** What a caller gets back: an answer, or a typed refusal or failure. */
import type { Coverage } from './coverage.js';
import type { Snapshot } from './snapshot.js';

/** Reply of one shard, in layout order within an answer. */
export interface ShardResult {
  readonly shardId: string;
  /** The back end's reply body, parsed. */
  readonly result: unknown;
}

/** Attempts a request cost. */
export interface AttemptCounts {
  /** First attempts, one a shard. */
  readonly primary: number;
  readonly hedges: number;
  readonly retries: number;
}

/** HTTP 200. */
export interface QueryAnswer {
  readonly requestId: string;
  readonly service: string;
  readonly snapshot: Snapshot;
  readonly coverage: Coverage;
  /** Revision of the settings the plan was made under. */
  readonly settingsRevision: number;
  /** Present when no source could prove that this revision is still the newest. */
  readonly settingsStale?: true;
  readonly attempts: AttemptCounts;
  readonly results: readonly ShardResult[];
}

/** How a query that brought no answer ended. */
export type QueryErrorCode =
  /** The request itself is wrong; nothing was run. HTTP 400, 404, 405, 408, 413, 431. */
  | 'bad_request'
  /** Nothing of it was run anywhere. HTTP 429 or 503. */
  | 'refused_not_run'
  /** Too few shards answered; a repeatable request may be sent again. HTTP 503. */
  | 'insufficient_coverage'
  /** It was run and failed, or may have been; a repeatable request may be sent again. HTTP 502 or 504. */
  | 'failed'
  /** A not repeatable request that may have been run; its outcome is not known. HTTP 504. */
  | 'outcome_unknown';

/** Body of every response that is not an answer. */
export interface QueryErrorBody {
  readonly error: {
    readonly code: QueryErrorCode;
    readonly message: string;
    readonly requestId?: string;
    readonly service?: string;
    /** Whether any back end may have begun to run the request. */
    readonly mayHaveRun: boolean;
    /** When to come back; also sent as `retry-after` in whole seconds. Milliseconds. */
    readonly retryAfterMs?: number;
    /** The field that is wrong, for `bad_request`. */
    readonly path?: string;
    /** With `insufficient_coverage`. */
    readonly coverage?: Coverage;
    readonly settingsRevision?: number;
  };
}
