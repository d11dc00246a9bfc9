/** Where the parts of a merged answer come from: replicas asked from here, or another gateway. */
import type { LogFields } from '../observability/logger.js';

/** Parts of one or more shards; their records merged when there are several. */
export interface GatheredParts {
  readonly shards: readonly string[];
  /** The replicas' signatures, in the order of the shards. */
  readonly signatures: readonly string[];
  readonly records: Uint8Array;
}

/** Who waits for the parts of a source. */
export interface PartListener {
  /** Each shard is in at most one call. */
  onParts(parts: GatheredParts): void;
  /** No part of these shards will come. */
  onFailed(shards: readonly string[]): void;
}

/** Asks a set of shards. */
export interface PartSource {
  start(): void;
  /** Stops asking; `reason` is logged where an attempt has none of its own. */
  cancel(reason: string): void;
  /** Requests to replicas so far, as far as they are known here. */
  readonly sends: number;
  /** Whether any replica was offered the request, or may have been. */
  readonly mayHaveSent: boolean;
  /** Whether a replica may have run the request, or may still run it. */
  readonly mayRun: boolean;
  /** Attempts that brought no part, for the log. `receivedAt` is the request's. */
  missingAttempts(receivedAt: number): readonly LogFields[];
}
