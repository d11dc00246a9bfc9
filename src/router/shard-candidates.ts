/** Which replicas of a shard may get an attempt now. */
import type { ReplicaRecord } from '../membership/replica-record.js';
import type { ReplicaRegistry } from '../membership/replica-registry.js';
import type { MissingReason } from '../model/coverage.js';
import type { OutlierEjection } from '../policies/outlier-ejection.js';
import type { ShardView } from './layout-view.js';

/** Looks a shard's replicas over for one query. */
export class ShardCandidates {
  private readonly tried = new Set<ReplicaRecord>();

  constructor(
    private readonly registry: ReplicaRegistry,
    private readonly outliers: OutlierEjection,
    private readonly shard: ShardView,
    /** `epoch.version`. */
    private readonly snapshot: string,
  ) {}

  markTried(record: ReplicaRecord): void {
    this.tried.add(record);
  }

  /** Replicas that may get new work and hold the snapshot. */
  holders(): ReplicaRecord[] {
    return this.shard.replicas.filter(
      (record) => this.registry.mayReceive(record) && record.holds(this.snapshot),
    );
  }

  /**
   * The best group of holders: not tried yet and sound, then not tried yet,
   * then any. A replica that does not report or keeps failing is so a last resort.
   */
  preferred(): ReplicaRecord[] {
    const holders = this.holders();
    const untried = holders.filter((record) => !this.tried.has(record));
    const healthy = untried.filter((record) => this.isHealthy(record));
    return [healthy, untried, holders].find((group) => group.length > 0) ?? [];
  }

  /** Siblings for a hedge: not tried, reporting, with a free connection. */
  hedgeCandidates(): ReplicaRecord[] {
    return this.holders().filter(
      (record) => !this.tried.has(record) && this.isHealthy(record) && record.hasRoom,
    );
  }

  /** Whether a replica that may get new work does not hold the snapshot, and so may hold another. */
  get hasReplicaWithoutSnapshot(): boolean {
    return this.shard.replicas.some(
      (record) => this.registry.mayReceive(record) && !record.holds(this.snapshot),
    );
  }

  private isHealthy(record: ReplicaRecord): boolean {
    return !record.isSuspect && !this.outliers.isEjected(record.process);
  }

  /** Why there is no holder. */
  missingReason(): MissingReason {
    const anyUsable = this.shard.replicas.some((record) => this.registry.mayReceive(record));
    return anyUsable ? 'snapshot_not_held' : 'no_replica';
  }
}
