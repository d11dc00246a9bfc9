/**
 * Sets replicas apart that fail several times in a row, for a growing time. They
 * are a last resort then: a shard with no other replica still uses them. Never
 * more than a share of the replicas is set apart, since failures of most are not
 * the fault of single replicas.
 */
import type { Clock } from '../seams/clock.js';

/** Failures in a row after which a replica is set apart. */
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
/** Of the replicas heard of. */
const MAXIMUM_EJECTED_FRACTION = 0.5;
/** The first time; doubles with each further one in a row. Milliseconds. */
const BASE_EJECTION_MS = 1_000;
const MAXIMUM_EJECTION_MS = 8_000;

/** One process of a replica; a restart makes another one, of which nothing is known. */
export interface ReplicaProcess {
  readonly replicaId: string;
  readonly incarnation: number | undefined;
}

/** How one replica's process has done of late. */
interface ReplicaHealth {
  readonly incarnation: number | undefined;
  consecutiveFailures: number;
  consecutiveEjections: number;
  /** On the monotonic clock. Milliseconds. */
  ejectedUntil: number;
}

/** Learns from the attempts of one service. */
export class OutlierEjection {
  private readonly healthByReplica = new Map<string, ReplicaHealth>();

  constructor(private readonly clock: Clock) {}

  recordSuccess(process: ReplicaProcess): void {
    const standing = this.healthOf(process);
    standing.consecutiveFailures = 0;
    standing.consecutiveEjections = 0;
  }

  /** The replica failed by itself; being asked too much is not meant. */
  recordFailure(process: ReplicaProcess): void {
    const standing = this.healthOf(process);
    standing.consecutiveFailures += 1;
    if (standing.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT || this.isEjected(process))
      return;
    if (!this.canEjectAnother()) return;
    const time = BASE_EJECTION_MS * 2 ** standing.consecutiveEjections;
    standing.consecutiveEjections += 1;
    standing.ejectedUntil = this.clock.now() + Math.min(MAXIMUM_EJECTION_MS, time);
  }

  isEjected({ replicaId, incarnation }: ReplicaProcess): boolean {
    const standing = this.healthByReplica.get(replicaId);
    if (standing === undefined || standing.incarnation !== incarnation) return false;
    return this.clock.now() < standing.ejectedUntil;
  }

  private canEjectAnother(): boolean {
    const now = this.clock.now();
    const ejected = [...this.healthByReplica.values()].filter(
      ({ ejectedUntil }) => now < ejectedUntil,
    );
    return ejected.length + 1 <= MAXIMUM_EJECTED_FRACTION * this.healthByReplica.size;
  }

  private healthOf({ replicaId, incarnation }: ReplicaProcess): ReplicaHealth {
    const known = this.healthByReplica.get(replicaId);
    if (known !== undefined && known.incarnation === incarnation) return known;
    const standing: ReplicaHealth = {
      incarnation,
      consecutiveFailures: 0,
      consecutiveEjections: 0,
      ejectedUntil: -Infinity,
    };
    this.healthByReplica.set(replicaId, standing);
    return standing;
  }
}
