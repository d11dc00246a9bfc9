/** The latest moment up to which a daemon's configuration is proven to be the agreed one. */
import { QUORUM_LEASE_MS } from './stream-timing.js';

/** Outlives the connection that brought the proof. */
export class FreshnessProof {
  private provenAt = Number.NEGATIVE_INFINITY;
  private highestCommitted = 0;

  /** A source, whose quorum was heard at `quorumAt`, holds the revision that is in force here. */
  recordProof(quorumAt: number): void {
    this.provenAt = Math.max(this.provenAt, quorumAt);
  }

  /** Some source knows `revision` to be committed. */
  recordCommitted(revision: number): void {
    this.highestCommitted = Math.max(this.highestCommitted, revision);
  }

  get committedRevision(): number {
    return this.highestCommitted;
  }

  isFresh(now: number): boolean {
    return now - this.provenAt <= QUORUM_LEASE_MS;
  }
}
