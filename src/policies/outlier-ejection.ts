/**
 * Ejects replicas that fail several times in a row, for a growing time. An ejected
 * replica is a last resort: a shard without another replica still uses it. At most
 * a share of the replicas is ejected, since a failure of most replicas does not
 * have its cause in single replicas.
 */
import type { Clock } from '../seams/clock.js';

/** Consecutive failures after which a replica is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
/** Largest fraction of the replicas with recorded attempts that may be ejected. */
const MAXIMUM_EJECTED_FRACTION = 0.5;
/** Duration of the first ejection; doubles with each consecutive one. Milliseconds. */
const BASE_EJECTION_MS = 1_000;
const MAXIMUM_EJECTION_MS = 8_000;

/** One process of a replica. A restart begins a new incarnation, which has no record of failures. */
export interface ReplicaProcess {
  readonly replicaId: string;
  readonly incarnation: number | undefined;
}

/** Recent failures and ejections of one replica process. */
interface ReplicaHealth {
  readonly incarnation: number | undefined;
  consecutiveFailures: number;
  consecutiveEjections: number;
  /** Reading of the monotonic clock. Milliseconds. */
  ejectedUntil: number;
}

/** One instance per service; it observes the attempts of that service. */
export class OutlierEjection {
  private readonly healthByReplica = new Map<string, ReplicaHealth>();

  constructor(private readonly clock: Clock) {}

  recordSuccess(process: ReplicaProcess): void {
    const health = this.healthOf(process);
    health.consecutiveFailures = 0;
    health.consecutiveEjections = 0;
  }

  /** Records a failure of the replica itself; a refusal because of overload is not one. */
  recordFailure(process: ReplicaProcess): void {
    const health = this.healthOf(process);
    health.consecutiveFailures += 1;
    if (health.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT || this.isEjected(process))
      return;
    if (!this.canEjectAnother()) return;
    const time = BASE_EJECTION_MS * 2 ** health.consecutiveEjections;
    health.consecutiveEjections += 1;
    health.ejectedUntil = this.clock.now() + Math.min(MAXIMUM_EJECTION_MS, time);
  }

  isEjected({ replicaId, incarnation }: ReplicaProcess): boolean {
    const health = this.healthByReplica.get(replicaId);
    if (health === undefined || health.incarnation !== incarnation) return false;
    return this.clock.now() < health.ejectedUntil;
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
    const health: ReplicaHealth = {
      incarnation,
      consecutiveFailures: 0,
      consecutiveEjections: 0,
      ejectedUntil: -Infinity,
    };
    this.healthByReplica.set(replicaId, health);
    return health;
  }
}
