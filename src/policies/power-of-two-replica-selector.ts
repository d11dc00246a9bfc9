/**
 * Power of two choices: selects the less loaded of two random replicas. The balance
 * is close to least-in-flight selection, but routers do not all select the same replica.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';
import { sampleTwo } from './sample-two.js';

/** The load of a replica is the number of this router's attempts in flight on it. */
export class PowerOfTwoReplicaSelector implements ReplicaSelector {
  constructor(private readonly random: RandomSource) {}

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    const pair = sampleTwo(candidates, this.random);
    if (pair === undefined) return undefined;
    return pair.second.inFlight < pair.first.inFlight ? pair.second : pair.first;
  }
}
