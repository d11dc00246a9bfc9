/** Selects the replica with the fewest attempts of this router in flight. */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';

/** Breaks ties at random, so that idle routers do not all select the same replica first. */
export class LeastInFlightReplicaSelector implements ReplicaSelector {
  constructor(private readonly random: RandomSource) {}

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    if (candidates.length === 0) return undefined;
    const fewest = Math.min(...candidates.map(({ inFlight }) => inFlight));
    const tied = candidates.filter(({ inFlight }) => inFlight === fewest);
    return tied[this.random.nextInteger(0, tied.length - 1)];
  }
}
