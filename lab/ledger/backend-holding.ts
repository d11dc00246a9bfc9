/** A snapshot that a stand-in back end came to hold; all of them together tell each layout. */
import type { Snapshot } from '../../src/model/snapshot.js';

/** `at` is wall-clock milliseconds. */
export interface BackendHolding {
  readonly replicaId: string;
  readonly service: string;
  readonly snapshot: Snapshot;
  readonly shardIds: readonly string[];
  readonly at: number;
}
