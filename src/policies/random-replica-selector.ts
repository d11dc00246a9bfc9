/** Selects a replica uniformly at random. */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';

/** Ignores load, latency and failures of the replicas. */
export class RandomReplicaSelector implements ReplicaSelector {
  constructor(private readonly random: RandomSource) {}

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.random.nextInteger(0, candidates.length - 1)];
  }
}
