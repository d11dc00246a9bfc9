/** One replica as this gateway sends to it: its connections and what was observed of it. */
import type { ReplicaEntry } from '../directory/replica-entry.js';
import type { HttpClient } from '../seams/http.js';
import type { ColdSendLimiter } from './cold-send-limiter.js';
import { AttemptsInFlight } from './attempts-in-flight.js';
import { FailureBackoff } from './failure-backoff.js';
import { ReplacementSignal } from './replacement-signal.js';
import type { ReportedLoad } from './reported-load.js';

/** Weight of a new sample in the average of {@link ReplicaTarget.slownessAt}. */
const SAMPLE_WEIGHT = 0.35;
/** What was learned counts half after this long, so that a replica that recovered is found. */
const HALF_LIFE_MS = 4_000;
/** Replicas pause for moments; longer than this is something else. */
const MAXIMUM_PAUSE_MS = 300;
/** By how much the time that an attempt was waited for is taken to fall short. */
const UNFINISHED_FACTOR = 2;
const MAXIMUM_UNFINISHED_ESTIMATE = 8;
/** A connection is taken to stay open this long after its last use. */
const CONNECTION_WARM_MS = 6_000;
/** Another replica answered at its address: it has ended, and nobody said so. It is let be for so long. */
const REPLACED_EXCLUSION_MS = 60_000;

/** See the module comment. */
export class ReplicaTarget {
  /** What it last said of its load. */
  load: ReportedLoad | undefined;
  /** When a connection that rests until then is used once; see `connection-warmer.ts`. */
  nextWarmCheckAt = -Infinity;
  /** Suspected requests that are being tried on it. */
  trialsInFlight = 0;
  /** Health checks since it was last used. */
  unusedChecks = 0;
  /** Whether it said that it leaves, or was not heard of for so long that it was forgotten. */
  hasLeft = false;
  /** The replica that registered at its address or under its id later; undefined while none has. */
  successor: ReplicaTarget | undefined;
  /** The replica that had its address before, if it was not said to have left. */
  predecessor: ReplicaTarget | undefined;
  /** Until when it is taken to be full, as it refused a request. Clock reading. */
  fullUntil = -Infinity;
  /** Tells attempts in flight that another replica has its address. */
  readonly replacement = new ReplacementSignal();
  private readonly attempts = new AttemptsInFlight();
  private readonly backoff = new FailureBackoff();
  private slowness = 1;
  private sampledAt = -Infinity;
  private replacedUntil = -Infinity;
  /** First of the attempts without an answer, of those since the last answer. */
  private unfinishedSince: number | undefined;

  constructor(
    public entry: ReplicaEntry,
    readonly client: HttpClient,
    readonly address: string,
    /** Until when it is slow from its start, or has turned cold again. Clock reading. */
    public coldUntil: number,
    /** When it may be sent to while it is cold. */
    readonly coldSendLimiter: ColdSendLimiter,
  ) {}

  get inFlight(): number {
    return this.attempts.count;
  }

  /** Notes an attempt and gives the number that {@link ReplicaTarget.end} takes. */
  begin(now: number): number {
    this.nextWarmCheckAt = Math.max(this.nextWarmCheckAt, now + CONNECTION_WARM_MS);
    return this.attempts.begin(now);
  }

  end(attempt: number): void {
    this.attempts.end(attempt);
  }

  /** How long the oldest attempt in flight has been waiting. Milliseconds. */
  oldestWait(now: number): number {
    return this.attempts.oldestWait(now);
  }

  /** Time it takes for a request over what is usual; 1 when nothing is known. */
  slownessAt(now: number): number {
    const weight = 0.5 ** ((now - this.sampledAt) / HALF_LIFE_MS);
    return 1 + (this.slowness - 1) * weight;
  }

  /** It took `ratio` times the usual time. */
  recordLatency(ratio: number, now: number): void {
    const before = this.slownessAt(now);
    this.slowness = before + (ratio - before) * SAMPLE_WEIGHT;
    this.sampledAt = now;
  }

  /**
   * It had not answered after `ratio` times the usual time. Once may be a pause;
   * a replica that goes on so for longer than pauses last is slow, by how much is
   * not known, as nobody waited for its answers.
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

  /** It answered: it can be used. */
  recordSuccess(): void {
    this.unfinishedSince = undefined;
    this.backoff.recordSuccess();
  }

  /** It could not be reached, or what it sent was no answer. */
  recordFailure(now: number): void {
    this.backoff.recordFailure(now);
  }

  /** It says that it is cold for `warmupMs` more; 0 when it is not, which may also be old word. */
  recordWarmup(warmupMs: number, now: number): void {
    if (warmupMs > 0) this.coldUntil = Math.max(this.coldUntil, now + warmupMs);
  }

  /** Another replica has its address now. */
  markReplaced(now: number): void {
    this.replacedUntil = now + REPLACED_EXCLUSION_MS;
  }

  isReplaced(now: number): boolean {
    return now < this.replacedUntil;
  }

  /** Whether its address is another replica's, by that one's registration or answers. */
  hasLostAddress(now: number): boolean {
    return this.successor !== undefined || this.isReplaced(now);
  }

  isBackingOff(now: number): boolean {
    return this.backoff.isBackingOff(now);
  }
}
