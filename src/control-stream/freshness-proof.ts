/** The latest moment at which a daemon's configuration is proven to have been up to date. */
import { QUORUM_LEASE_MS } from './stream-timing.js';

/** Proofs from any source; a proof stays valid after the session that brought it has ended. */
export class FreshnessProof {
  private provenAt = Number.NEGATIVE_INFINITY;
  private highestCommitted = 0;

  /**
   * Records that a source with quorum contact at `quorumAt` holds the revision
   * in force at this daemon.
   */
  recordProof(quorumAt: number): void {
    this.provenAt = Math.max(this.provenAt, quorumAt);
  }

  /** Records that `revision` is known to be committed. */
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
