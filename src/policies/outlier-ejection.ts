/**
 * Sets replicas apart that fail several times in a row, for a growing time. They
 * are a last resort then: a shard with no other replica still uses them. Never
 * more than a share of the replicas is set apart, since failures of most are not
 * the fault of single replicas.
 */
import type { Clock } from '../seams/clock.js';

/** Failures in a row after which a replica is set apart. */
const FAILURES_TO_EJECT = 3;
/** Of the replicas heard of. */
const LARGEST_EJECTED_SHARE = 0.5;
/** The first time; doubles with each further one in a row. Milliseconds. */
const FIRST_EJECTION_TIME = 1_000;
const LONGEST_EJECTION_TIME = 8_000;

/** One process of a replica; a restart makes another one, of which nothing is known. */
export interface ReplicaProcess {
  readonly replicaId: string;
  readonly incarnation: number | undefined;
}

/** How one replica's process has done of late. */
interface Standing {
  readonly incarnation: number | undefined;
  failuresInRow: number;
  ejections: number;
  /** On the monotonic clock. Milliseconds. */
  ejectedUntil: number;
}

/** Learns from the attempts of one service. */
export class OutlierEjection {
  private readonly standings = new Map<string, Standing>();

  constructor(private readonly clock: Clock) {}

  recordSuccess(process: ReplicaProcess): void {
    const standing = this.standingOf(process);
    standing.failuresInRow = 0;
    standing.ejections = 0;
  }

  /** The replica failed by itself; being asked too much is not meant. */
  recordFailure(process: ReplicaProcess): void {
    const standing = this.standingOf(process);
    standing.failuresInRow += 1;
    if (standing.failuresInRow < FAILURES_TO_EJECT || this.isEjected(process)) return;
    if (!this.mayEjectAnother()) return;
    const time = FIRST_EJECTION_TIME * 2 ** standing.ejections;
    standing.ejections += 1;
    standing.ejectedUntil = this.clock.now() + Math.min(LONGEST_EJECTION_TIME, time);
  }

  isEjected({ replicaId, incarnation }: ReplicaProcess): boolean {
    const standing = this.standings.get(replicaId);
    if (standing === undefined || standing.incarnation !== incarnation) return false;
    return this.clock.now() < standing.ejectedUntil;
  }

  private mayEjectAnother(): boolean {
    const now = this.clock.now();
    const ejected = [...this.standings.values()].filter(({ ejectedUntil }) => now < ejectedUntil);
    return ejected.length + 1 <= LARGEST_EJECTED_SHARE * this.standings.size;
  }

  private standingOf({ replicaId, incarnation }: ReplicaProcess): Standing {
    const known = this.standings.get(replicaId);
    if (known !== undefined && known.incarnation === incarnation) return known;
    const standing: Standing = {
      incarnation,
      failuresInRow: 0,
      ejections: 0,
      ejectedUntil: -Infinity,
    };
    this.standings.set(replicaId, standing);
    return standing;
  }
}
