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
const MAXIMUM_CLOCK_RATE_DIFFERENCE = 0.01;
/** Suspensions shorter than the boot clock can tell are not counted. Milliseconds. */
const CLOCK_RESOLUTION_MARGIN_MS = 50;
/** Parts of the bound: from an ask to the next, and until an answer counts as missing. */
const RENEWAL_INTERVAL_FRACTION = 0.2;
const RESPONSE_TIMEOUT_FRACTION = 0.1;
/** Part of the time between two asks that chance takes away, so that gateways do not ask together. */
const RENEWAL_JITTER_FRACTION = 0.25;
/** Before the path to a controller is looked for again; jittered. Milliseconds. */
const NO_CONTROLLER_RETRY_MS = 100;
/** In which an answer to an ask is expected. Milliseconds. */
const EXPECTED_RESPONSE_MS = 100;

/** Defects that tests switch on to see their checks fail. */
export interface LeaseFaults {
  /** The lease counts from when the answer came. */
  readonly countFromResponse?: boolean;
  /** The lease is granted whatever version is in force here. */
  readonly ignoreVersion?: boolean;
}

/** What a keeper works with. */
export interface LeaseKeeperOptions {
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
export interface ConfirmationRequest {
  readonly number: number;
  /** Asks before it in a row that no answer came to; the ask goes to another controller then. */
  readonly unanswered: number;
}

/** A version that was confirmed before it came into force here. */
interface PendingConfirmation {
  readonly version: number;
  readonly leaseStartsAt: number;
}

/** How long a lease lasts from its ask. Milliseconds. */
export function leaseDurationMs(boundMs: number): number {
  return boundMs * (1 - MAXIMUM_CLOCK_RATE_DIFFERENCE) - CLOCK_RESOLUTION_MARGIN_MS;
}

/** See the module comment. */
export class LeaseKeeper implements AuthorizationLease {
  private readonly durationMs: number;
  /** Clock readings of the asks that are not answered, by their number. */
  private readonly requestTimes = new Map<number, number>();
  private pendingConfirmations: readonly PendingConfirmation[] = [];
  private lastRequestNumber = 0;
  private consecutiveUnanswered = 0;
  private leaseStartedAt = -Infinity;
  private nextRequestAt = -Infinity;
  private version = -Infinity;
  /** Also before the first table, which may need keys. */
  private needsKeys = true;

  constructor(private readonly options: LeaseKeeperOptions) {
    this.durationMs = leaseDurationMs(options.boundMs);
  }

  get isHeld(): boolean {
    return this.expiresInMs > 0;
  }

  get retryAfterMs(): number {
    const isFirstRequestInFlight = this.consecutiveUnanswered === 1;
    return isFirstRequestInFlight
      ? EXPECTED_RESPONSE_MS
      : this.requestDueInMs + EXPECTED_RESPONSE_MS;
  }

  /** Until the lease ends, unless it is renewed; 0 when it has. Milliseconds. */
  get expiresInMs(): number {
    return Math.max(0, this.leaseStartedAt + this.durationMs - this.options.clock.now());
  }

  /** Until the next ask; Infinity while keys are not needed. Milliseconds. */
  get requestDueInMs(): number {
    if (!this.needsKeys) return Infinity;
    return Math.max(0, this.nextRequestAt - this.options.clock.now());
  }

  /** A table has come into force. */
  setRouteTable(version: number, needsKeys: boolean): void {
    if (needsKeys && !this.needsKeys) this.nextRequestAt = -Infinity;
    this.needsKeys = needsKeys;
    this.version = version;
    const confirmed = this.pendingConfirmations.filter((awaited) => awaited.version <= version);
    this.pendingConfirmations = this.pendingConfirmations.filter(
      (pending) => pending.version > version,
    );
    for (const { leaseStartsAt: startsAt } of confirmed) this.startLease(startsAt);
  }

  /**
   * One more controller can be asked. Only who has just started asks at once: after a cut all
   * find their controllers together.
   */
  handleControllerConnected(): void {
    const hasJustStarted = this.leaseStartedAt === -Infinity && this.requestTimes.size === 0;
    if (hasJustStarted) this.nextRequestAt = -Infinity;
  }

  /** Call before the ask is sent: the lease counts from now. */
  beginRequest(): ConfirmationRequest {
    const { consecutiveUnanswered: unanswered } = this;
    const now = this.options.clock.now();
    this.lastRequestNumber += 1;
    this.requestTimes.set(this.lastRequestNumber, now);
    this.discardExpired(now);
    this.consecutiveUnanswered += 1;
    this.nextRequestAt = now + this.options.boundMs * RESPONSE_TIMEOUT_FRACTION;
    return { number: this.lastRequestNumber, unanswered };
  }

  /** No controller could be sent the ask. */
  recordUnsent({ number }: ConfirmationRequest): void {
    const { clock, random } = this.options;
    this.requestTimes.delete(number);
    this.consecutiveUnanswered = 0;
    this.nextRequestAt = clock.now() + NO_CONTROLLER_RETRY_MS * (0.5 + random.nextFloat() / 2);
  }

  /** A controller answered: `version` was in force when it had the question. */
  handleConfirmation(number: number, version: number): ConfirmationResult {
    const requestedAt = this.requestTimes.get(number);
    if (requestedAt === undefined) return ConfirmationResult.Late;
    this.discardRequestsUpTo(number);
    this.consecutiveUnanswered = 0;
    this.scheduleNextRequest(number, requestedAt);
    const { clock, faults } = this.options;
    const startsAt = faults?.countFromResponse === true ? clock.now() : requestedAt;
    if (version <= this.version || faults?.ignoreVersion === true) return this.startLease(startsAt);
    this.pendingConfirmations = [
      ...this.pendingConfirmations,
      { version, leaseStartsAt: startsAt },
    ];
    return ConfirmationResult.DocumentMissing;
  }

  private startLease(startsAt: number): ConfirmationResult {
    const isLate = startsAt + this.durationMs <= this.options.clock.now();
    if (isLate || startsAt <= this.leaseStartedAt) return ConfirmationResult.Late;
    this.leaseStartedAt = startsAt;
    return ConfirmationResult.Renewed;
  }

  /** A later ask that is on its way is waited for first. */
  private scheduleNextRequest(number: number, requestedAt: number): void {
    if (number < this.lastRequestNumber) return;
    const interval = this.options.boundMs * RENEWAL_INTERVAL_FRACTION;
    this.nextRequestAt =
      requestedAt + interval * (1 - RENEWAL_JITTER_FRACTION * this.options.random.nextFloat());
  }

  /** An answer to an earlier ask adds nothing to that of a later one. */
  private discardRequestsUpTo(last: number): void {
    for (const number of this.requestTimes.keys()) {
      if (number <= last) this.requestTimes.delete(number);
    }
  }

  private discardExpired(now: number): void {
    for (const [number, requestedAt] of this.requestTimes) {
      if (requestedAt + this.durationMs <= now) this.requestTimes.delete(number);
    }
    this.pendingConfirmations = this.pendingConfirmations.filter(
      ({ leaseStartsAt: startsAt }) => startsAt + this.durationMs > now,
    );
  }
}
