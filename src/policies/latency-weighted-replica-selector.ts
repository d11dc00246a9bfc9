/** Power of two choices by expected time: attempts in flight times smoothed latency. */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';
import { sampleTwo } from './sample-two.js';

/** Time a further attempt is expected to take; 0 for a replica never tried. Milliseconds. */
function expectedLatency(view: ReplicaView): number {
  return (view.inFlight + 1) * (view.smoothedLatency ?? 0);
}

/** Compares by the router's own observations only. */
export class LatencyWeightedReplicaSelector implements ReplicaSelector {
  constructor(private readonly random: RandomSource) {}

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    const pair = sampleTwo(candidates, this.random);
    if (pair === undefined) return undefined;
    return expectedLatency(pair.second) < expectedLatency(pair.first) ? pair.second : pair.first;
  }
}
