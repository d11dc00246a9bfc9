/**
 * Power of two choices: the less loaded of two replicas drawn by chance. Close
 * to least in flight in balance, without every router running to the same one.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';
import { sampleTwo } from './sample-two.js';

/** Compares by the attempts of this router in flight. */
export class PowerOfTwoReplicaSelector implements ReplicaSelector {
  constructor(private readonly random: RandomSource) {}

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    const pair = sampleTwo(candidates, this.random);
    if (pair === undefined) return undefined;
    return pair.second.inFlight < pair.first.inFlight ? pair.second : pair.first;
  }
}
