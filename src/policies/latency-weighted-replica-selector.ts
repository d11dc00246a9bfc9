/** Power of two choices by expected latency: attempts in flight times smoothed latency. */
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';
import { sampleTwo } from './sample-two.js';

/** Expected latency of one more attempt; 0 for a replica without attempts so far. Milliseconds. */
function expectedLatency(view: ReplicaView): number {
  return (view.inFlight + 1) * (view.smoothedLatency ?? 0);
}

/** Uses the router's own observations only, not the load that replicas report. */
export class LatencyWeightedReplicaSelector implements ReplicaSelector {
  constructor(private readonly random: RandomSource) {}

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    const pair = sampleTwo(candidates, this.random);
    if (pair === undefined) return undefined;
    return expectedLatency(pair.second) < expectedLatency(pair.first) ? pair.second : pair.first;
  }
}
