/**
 * Source of the parts of a gather: queries the shards directly at a leaf, through leaves at a
 * relay.
 */
import type { PartSource } from '../gateway/part-source.js';

/** A part source whose further attempts may have to wait for the root's grant. */
export interface LeafSource extends PartSource {
  /** Sends the further attempts that were due but not yet permitted. */
  hedge(): void;
}
