/**
 * Decides when a gateway has a controller confirm that its route document is the newest, and
 * what an answer is worth. Made for fleets of a thousand gateways: each asks a few times in
 * the bound, and renewals are spread, so that gateways do not ask together for long.
 *
 * A controller answers with the version that a quorum held after the question came. Documents
 * that were acknowledged before the question are of that version at most, so a table of it or
 * of a later one knows what they took away. Those that are acknowledged afterwards take keys
 * away after the question, and a lease that counts from it ends before their bound does.
 */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { AuthorizationLease } from './authorization-lease.js';

/** Clocks of two machines may differ in rate by this part of the time. */
const CLOCK_RATE_MARGIN = 0.01;
/** Suspensions shorter than the boot clock can tell are not counted. Milliseconds. */
const CLOCK_RESOLUTION_MARGIN_MS = 50;
/** Parts of the bound: from an ask to the next, and until an answer counts as missing. */
const RENEWAL_PART = 0.2;
const PATIENCE_PART = 0.1;
/** Part of the time between two asks that chance takes away, so that gateways do not ask together. */
const RENEWAL_JITTER = 0.25;
/** Before the path to a controller is looked for again; jittered. Milliseconds. */
const NO_PATH_PAUSE_MS = 100;
/** In which an answer to an ask is expected. Milliseconds. */
const EXPECTED_ANSWER_MS = 100;

/** Defects that tests switch on to see their checks fail. */
export interface LeaseFaults {
  /** The lease counts from when the answer came. */
  readonly countFromAnswer?: boolean;
  /** The lease is granted whatever version is in force here. */
  readonly ignoreVersion?: boolean;
}

/** What a keeper works with. */
export interface LeaseKeeperParts {
  readonly clock: Pick<Clock, 'now'>;
  readonly random: Pick<RandomSource, 'nextFloat'>;
  /** From the acknowledgement of a revocation until no gateway accepts the key. Milliseconds. */
  readonly boundMs: number;
  readonly faults?: LeaseFaults;
}

/** What became of an answer. */
export enum ConfirmationResult {
  /** The lease holds for longer. */
  Renewed = 'renewed',
  /** The version that it names is not in force here yet; the lease is renewed when it is. */
  DocumentMissing = 'document_missing',
  /** It adds nothing: a later ask was answered, or too much time has passed. */
  Late = 'late',
}

/** A question to a controller. */
export interface LeaseAsk {
  readonly number: number;
  /** Asks before it in a row that no answer came to; the ask goes to another controller then. */
  readonly unanswered: number;
}

/** A version that was confirmed before it came into force here. */
interface AwaitedVersion {
  readonly version: number;
  readonly startsAt: number;
}

/** How long a lease lasts from its ask. Milliseconds. */
export function leaseLengthMs(boundMs: number): number {
  return boundMs * (1 - CLOCK_RATE_MARGIN) - CLOCK_RESOLUTION_MARGIN_MS;
}

/** See the module comment. */
export class LeaseKeeper implements AuthorizationLease {
  private readonly lengthMs: number;
  /** Clock readings of the asks that are not answered, by their number. */
  private readonly asks = new Map<number, number>();
  private awaited: readonly AwaitedVersion[] = [];
  private lastNumber = 0;
  private unanswered = 0;
  private startsAt = -Infinity;
  private nextAskAt = -Infinity;
  private version = -Infinity;
  /** Also before the first table, which may need keys. */
  private isNeeded = true;

  constructor(private readonly parts: LeaseKeeperParts) {
    this.lengthMs = leaseLengthMs(parts.boundMs);
  }

  get isHeld(): boolean {
    return this.endsInMs > 0;
  }

  get retryAfterMs(): number {
    const isFirstAskOut = this.unanswered === 1;
    return isFirstAskOut ? EXPECTED_ANSWER_MS : this.askDueInMs + EXPECTED_ANSWER_MS;
  }

  /** Until the lease ends, unless it is renewed; 0 when it has. Milliseconds. */
  get endsInMs(): number {
    return Math.max(0, this.startsAt + this.lengthMs - this.parts.clock.now());
  }

  /** Until the next ask; Infinity while keys are not needed. Milliseconds. */
  get askDueInMs(): number {
    if (!this.isNeeded) return Infinity;
    return Math.max(0, this.nextAskAt - this.parts.clock.now());
  }

  /** A table has come into force. */
  useTable(version: number, needsKeys: boolean): void {
    if (needsKeys && !this.isNeeded) this.nextAskAt = -Infinity;
    this.isNeeded = needsKeys;
    this.version = version;
    const ready = this.awaited.filter((awaited) => awaited.version <= version);
    this.awaited = this.awaited.filter((awaited) => awaited.version > version);
    for (const { startsAt } of ready) this.grant(startsAt);
  }

  /**
   * One more controller can be asked. Only who has just started asks at once: after a cut all
   * find their controllers together.
   */
  noteFollowed(): void {
    const isYoung = this.startsAt === -Infinity && this.asks.size === 0;
    if (isYoung) this.nextAskAt = -Infinity;
  }

  /** Call before the ask is sent: the lease counts from now. */
  beginAsk(): LeaseAsk {
    const { unanswered } = this;
    const now = this.parts.clock.now();
    this.lastNumber += 1;
    this.asks.set(this.lastNumber, now);
    this.forgetOld(now);
    this.unanswered += 1;
    this.nextAskAt = now + this.parts.boundMs * PATIENCE_PART;
    return { number: this.lastNumber, unanswered };
  }

  /** No controller could be sent the ask. */
  noteUnsent({ number }: LeaseAsk): void {
    const { clock, random } = this.parts;
    this.asks.delete(number);
    this.unanswered = 0;
    this.nextAskAt = clock.now() + NO_PATH_PAUSE_MS * (0.5 + random.nextFloat() / 2);
  }

  /** A controller answered: `version` was in force when it had the question. */
  takeAnswer(number: number, version: number): ConfirmationResult {
    const askedAt = this.asks.get(number);
    if (askedAt === undefined) return ConfirmationResult.Late;
    this.forgetUntil(number);
    this.unanswered = 0;
    this.scheduleAfter(number, askedAt);
    const { clock, faults } = this.parts;
    const startsAt = faults?.countFromAnswer === true ? clock.now() : askedAt;
    if (version <= this.version || faults?.ignoreVersion === true) return this.grant(startsAt);
    this.awaited = [...this.awaited, { version, startsAt }];
    return ConfirmationResult.DocumentMissing;
  }

  private grant(startsAt: number): ConfirmationResult {
    const isLate = startsAt + this.lengthMs <= this.parts.clock.now();
    if (isLate || startsAt <= this.startsAt) return ConfirmationResult.Late;
    this.startsAt = startsAt;
    return ConfirmationResult.Renewed;
  }

  /** A later ask that is on its way is waited for first. */
  private scheduleAfter(number: number, askedAt: number): void {
    if (number < this.lastNumber) return;
    const interval = this.parts.boundMs * RENEWAL_PART;
    this.nextAskAt = askedAt + interval * (1 - RENEWAL_JITTER * this.parts.random.nextFloat());
  }

  /** An answer to an earlier ask adds nothing to that of a later one. */
  private forgetUntil(last: number): void {
    for (const number of this.asks.keys()) {
      if (number <= last) this.asks.delete(number);
    }
  }

  private forgetOld(now: number): void {
    for (const [number, askedAt] of this.asks) {
      if (askedAt + this.lengthMs <= now) this.asks.delete(number);
    }
    this.awaited = this.awaited.filter(({ startsAt }) => startsAt + this.lengthMs > now);
  }
}
