/** Asks the shards of a gather at a leaf, or at a relay, which has leaves ask them. */
import type { PartSource } from '../gateway/part-source.js';

/** See the module comment. */
export interface LeafSource extends PartSource {
  /** Second sendings that were due and not allowed yet are allowed now. */
  hedge(): void;
}
