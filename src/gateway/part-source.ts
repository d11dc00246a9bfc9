/** Sources of the parts of a merged response: replicas asked by this gateway, or another gateway. */
import type { LogFields } from '../observability/logger.js';

/** Parts of one or more shards. With several shards the records are already merged. */
export interface GatheredParts {
  readonly shards: readonly string[];
  /** The replicas' signatures, in the order of the shards. */
  readonly signatures: readonly string[];
  readonly records: Uint8Array;
}

/** Receives the parts of a source. */
export interface PartListener {
  /** Called when parts arrive; each shard occurs in at most one call. */
  onParts(parts: GatheredParts): void;
  /** Called when no part of these shards will arrive. */
  onFailed(shards: readonly string[]): void;
}

/** Requests the parts of a set of shards. */
export interface PartSource {
  /** Sends the first requests; the listener may be called before `start` returns. */
  start(): void;
  /**
   * Sends nothing more and ignores parts that still arrive; `reason` is logged for attempts that
   * have no reason of their own.
   */
  cancel(reason: string): void;
  /** Number of attempts sent to replicas so far, as far as this gateway knows. */
  readonly sends: number;
  /** Number of shards that this gateway queries itself; the others are queried by leaves. */
  readonly shardsQueriedHere: number;
  /** Whether any attempt was sent to a replica, or may have been. */
  readonly mayHaveSent: boolean;
  /** Whether a replica may have run the request, or may still run it. */
  readonly mayRun: boolean;
  /** Log fields of the attempts for shards without a part; times count from the request's `receivedAt`. */
  missingAttempts(receivedAt: number): readonly LogFields[];
}
