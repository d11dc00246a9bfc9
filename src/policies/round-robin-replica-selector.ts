/** Each replica in turn, whichever shard it holds. */
import type { ReplicaSelector, ReplicaView } from './replica-selector.js';

/** Replicas whose last turn is remembered; older ones count as never chosen. */
const MAXIMUM_REMEMBERED_REPLICAS = 10_000;

/** Takes the candidate whose last turn lies furthest back, so a changing list needs no index. */
export class RoundRobinReplicaSelector implements ReplicaSelector {
  /** Turn by replica, in order of the last turn. */
  private readonly lastTurns = new Map<string, number>();
  private turn = 0;

  select(candidates: readonly ReplicaView[]): ReplicaView | undefined {
    let chosen: ReplicaView | undefined;
    let chosenTurn = Infinity;
    for (const candidate of candidates) {
      const lastTurn = this.lastTurns.get(candidate.replica.replicaId) ?? 0;
      if (lastTurn >= chosenTurn) continue;
      chosen = candidate;
      chosenTurn = lastTurn;
    }
    if (chosen !== undefined) this.remember(chosen.replica.replicaId);
    return chosen;
  }

  private remember(replicaId: string): void {
    this.turn += 1;
    this.lastTurns.delete(replicaId);
    this.lastTurns.set(replicaId, this.turn);
    if (this.lastTurns.size <= MAXIMUM_REMEMBERED_REPLICAS) return;
    const [oldest] = this.lastTurns.keys();
    if (oldest !== undefined) this.lastTurns.delete(oldest);
  }
}
