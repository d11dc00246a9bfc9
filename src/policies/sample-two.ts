/** Draws two random candidates, for selectors that compare two replicas. */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaView } from './replica-selector.js';

/** Two different candidates, or the same one twice when the list has only one. */
export interface CandidatePair {
  readonly first: ReplicaView;
  readonly second: ReplicaView;
}

/** Every ordered pair is equally likely. Undefined only for an empty list. */
export function sampleTwo(
  candidates: readonly ReplicaView[],
  random: RandomSource,
): CandidatePair | undefined {
  if (candidates.length === 0) return undefined;
  const firstIndex = random.nextInteger(0, candidates.length - 1);
  const offset = candidates.length === 1 ? 0 : random.nextInteger(1, candidates.length - 1);
  const secondIndex = (firstIndex + offset) % candidates.length;
  const first = candidates[firstIndex];
  const second = candidates[secondIndex];
  return first === undefined || second === undefined ? undefined : { first, second };
}
