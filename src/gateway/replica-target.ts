/** A replica as a destination of this gateway: its HTTP client and its observed state. */
import type { ReplicaEntry } from '../directory/replica-entry.js';
import type { HttpClient } from '../seams/http.js';
import type { ColdSendLimiter } from './cold-send-limiter.js';
import { AttemptsInFlight } from './attempts-in-flight.js';
import { FailureBackoff } from './failure-backoff.js';
import { ReplacementSignal } from './replacement-signal.js';
import type { ReportedLoad } from './reported-load.js';

/** Weight of a new sample in the average of {@link ReplicaTarget.slownessAt}. */
const SAMPLE_WEIGHT = 0.35;
/** Half-life of the observed slowness, so that a recovered replica is used again. */
const HALF_LIFE_MS = 4_000;
/** Replicas pause briefly; attempts left unfinished for longer indicate a slow replica. */
const MAXIMUM_PAUSE_MS = 300;
/** Estimated ratio of the real latency of an unfinished attempt to the time waited for it. */
const UNFINISHED_FACTOR = 2;
const MAXIMUM_UNFINISHED_ESTIMATE = 8;
/** Time after its last use during which a connection is assumed to be open. */
const CONNECTION_WARM_MS = 6_000;
/**
 * How long a replica is excluded after another one answered at its address. It has ended, but its
 * end was not announced.
 */
const REPLACED_EXCLUSION_MS = 60_000;

/** State of one replica as seen by this gateway. Times are clock readings in milliseconds. */
export class ReplicaTarget {
  /** The latest load report; undefined before the first. */
  load: ReportedLoad | undefined;
  /** When the next health check of `connection-warmer.ts` is due if no request is sent before. */
  nextWarmCheckAt = -Infinity;
  /** Number of suspected requests on trial at this replica. */
  trialsInFlight = 0;
  /** Health checks since the last request. */
  unusedChecks = 0;
  /** Whether the replica announced its departure, or was removed after a long silence. */
  hasLeft = false;
  /** The replica that registered later at this address or under this id, if any. */
  successor: ReplicaTarget | undefined;
  /** Until when the replica is assumed to be full after it refused a request. */
  fullUntil = -Infinity;
  /** Notifies attempts in flight that another replica has taken over the address. */
  readonly replacement = new ReplacementSignal();
  private readonly attempts = new AttemptsInFlight();
  private readonly backoff = new FailureBackoff();
  private slowness = 1;
  private sampledAt = -Infinity;
  private replacedUntil = -Infinity;
  /** When the first unfinished attempt since the last answer was recorded. */
  private unfinishedSince: number | undefined;

  constructor(
    public entry: ReplicaEntry,
    readonly client: HttpClient,
    readonly address: string,
    /** Until when the replica is cold, after its start or after turning cold again. */
    public coldUntil: number,
    /** Limits attempts while the replica is cold. */
    readonly coldSendLimiter: ColdSendLimiter,
  ) {}

  get inFlight(): number {
    return this.attempts.count;
  }

  /** Adds an attempt and returns its number for {@link ReplicaTarget.end}. */
  begin(now: number): number {
    this.nextWarmCheckAt = Math.max(this.nextWarmCheckAt, now + CONNECTION_WARM_MS);
    return this.attempts.begin(now);
  }

  end(attempt: number): void {
    this.attempts.end(attempt);
  }

  /** Age of the oldest attempt in flight; 0 if there is none. */
  oldestWait(now: number): number {
    return this.attempts.oldestWait(now);
  }

  /** Expected latency divided by the median latency; 1 if nothing is known. */
  slownessAt(now: number): number {
    const weight = 0.5 ** ((now - this.sampledAt) / HALF_LIFE_MS);
    return 1 + (this.slowness - 1) * weight;
  }

  /** Records an answer that took `ratio` times the median latency. */
  recordLatency(ratio: number, now: number): void {
    const before = this.slownessAt(now);
    this.slowness = before + (ratio - before) * SAMPLE_WEIGHT;
    this.sampledAt = now;
  }

  /**
   * Records an attempt that was cancelled after `ratio` times the median latency. One such attempt
   * may be a pause. A replica that leaves attempts unfinished for longer than a pause is slow; how
   * slow has to be estimated, as its answers were not awaited.
   */
  recordUnfinished(ratio: number, now: number): void {
    if (this.unfinishedSince === undefined) this.unfinishedSince = now;
    const isLasting = now - this.unfinishedSince > MAXIMUM_PAUSE_MS;
    const before = this.slownessAt(now);
    if (isLasting) {
      const estimate = Math.min(ratio * UNFINISHED_FACTOR, MAXIMUM_UNFINISHED_ESTIMATE);
      this.slowness = Math.max(before, estimate);
      this.sampledAt = now;
    } else if (ratio > before) {
      this.recordLatency(ratio, now);
    }
  }

  /** Records that the replica answered: ends its backoff and the series of unfinished attempts. */
  recordSuccess(): void {
    this.unfinishedSince = undefined;
    this.backoff.recordSuccess();
  }

  /**
   * Records that the replica was unreachable or sent no valid answer; starts or extends its
   * backoff.
   */
  recordFailure(now: number): void {
    this.backoff.recordFailure(now);
  }

  /** Records a reported remaining warmup time. Zero is ignored, as the report may be outdated. */
  recordWarmup(warmupMs: number, now: number): void {
    if (warmupMs > 0) this.coldUntil = Math.max(this.coldUntil, now + warmupMs);
  }

  /** Excludes the replica for a while because another one answered at its address. */
  markReplaced(now: number): void {
    this.replacedUntil = now + REPLACED_EXCLUSION_MS;
  }

  isReplaced(now: number): boolean {
    return now < this.replacedUntil;
  }

  /** Whether another replica has the address, according to its registration or answers. */
  hasLostAddress(now: number): boolean {
    return this.successor !== undefined || this.isReplaced(now);
  }

  isBackingOff(now: number): boolean {
    return this.backoff.isBackingOff(now);
  }
}
