/**
 * Decides when a gateway asks a controller to confirm that its route document is the newest, and
 * how long each confirmation extends the authorization lease. Designed for fleets of a thousand
 * gateways: each sends a few requests per revocation bound, and jitter spreads them, so that
 * gateways that happen to send together soon stop doing so.
 *
 * A controller responds with the version that a quorum held after the request arrived. Documents
 * acknowledged before the request have at most that version, so a route table of that version or
 * a later one includes their revocations. Documents acknowledged later revoke keys after the
 * request, and a lease that starts at the request expires before the bound of those revocations.
 */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { AuthorizationLease } from './authorization-lease.js';

/** Maximum difference between the clock rates of two machines, as a fraction. */
const MAXIMUM_CLOCK_RATE_DIFFERENCE = 0.01;
/** Covers suspensions of the machine that are too short for the boot clock to detect. */
const CLOCK_RESOLUTION_MARGIN_MS = 50;
/** Fractions of the revocation bound: between two requests, and until a response counts as missing. */
const RENEWAL_INTERVAL_FRACTION = 0.2;
const RESPONSE_TIMEOUT_FRACTION = 0.1;
/** Largest fraction by which an interval is randomly shortened, so that gateways don't send together. */
const RENEWAL_JITTER_FRACTION = 0.25;
/** Delay before the next request when no controller was connected; jittered. */
const NO_CONTROLLER_RETRY_MS = 100;
/** Time in which a controller is expected to respond to a request. */
const EXPECTED_RESPONSE_MS = 100;

/** Defects that tests inject to verify that their checks detect them. */
export interface LeaseFaults {
  /** The lease starts when the response arrives instead of when the request was sent. */
  readonly countFromResponse?: boolean;
  /** The lease is granted without comparing the confirmed version with the one in force. */
  readonly ignoreVersion?: boolean;
}

/** Dependencies and settings of a {@link LeaseKeeper}. */
export interface LeaseKeeperOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly random: Pick<RandomSource, 'nextFloat'>;
  /**
   * Maximum time in milliseconds from the acknowledgement of a revocation until no gateway accepts
   * the key.
   */
  readonly boundMs: number;
  readonly faults?: LeaseFaults;
}

/** The effect of a controller's response on the lease. */
export enum ConfirmationResult {
  /** The lease was extended. */
  Renewed = 'renewed',
  /** The confirmed version isn't in force here yet; the lease is extended once it is. */
  DocumentMissing = 'document_missing',
  /** No effect: a later request was already answered, or the lease would have expired already. */
  Late = 'late',
}

/** A request to a controller to confirm the version of the route document. */
export interface ConfirmationRequest {
  readonly number: number;
  /**
   * Consecutive earlier requests without a response; if there are any, this one goes to another
   * controller.
   */
  readonly unanswered: number;
}

/** A version that was confirmed before it came into force at this gateway. */
interface PendingConfirmation {
  readonly version: number;
  readonly leaseStartsAt: number;
}

/** Duration of a lease from the sending of its request, in milliseconds. */
export function leaseDurationMs(boundMs: number): number {
  return boundMs * (1 - MAXIMUM_CLOCK_RATE_DIFFERENCE) - CLOCK_RESOLUTION_MARGIN_MS;
}

/** The lease of one gateway and the schedule of its confirmation requests. Sends nothing itself. */
export class LeaseKeeper implements AuthorizationLease {
  private readonly durationMs: number;
  /** Clock readings at which unanswered requests were sent, by request number. */
  private readonly requestTimes = new Map<number, number>();
  private pendingConfirmations: readonly PendingConfirmation[] = [];
  private lastRequestNumber = 0;
  private consecutiveUnanswered = 0;
  private leaseStartedAt = -Infinity;
  private nextRequestAt = -Infinity;
  private version = -Infinity;
  /** True before the first route table as well, because that one may need keys. */
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

  /** Milliseconds until the lease expires; 0 when it has. */
  get expiresInMs(): number {
    return Math.max(0, this.leaseStartedAt + this.durationMs - this.options.clock.now());
  }

  /** Milliseconds until the next request is due; Infinity while no route needs keys. */
  get requestDueInMs(): number {
    if (!this.needsKeys) return Infinity;
    return Math.max(0, this.nextRequestAt - this.options.clock.now());
  }

  /** Records the route table that has come into force. */
  setRouteTable(version: number, needsKeys: boolean): void {
    if (needsKeys && !this.needsKeys) this.nextRequestAt = -Infinity;
    this.needsKeys = needsKeys;
    this.version = version;
    const confirmed = this.pendingConfirmations.filter((pending) => pending.version <= version);
    this.pendingConfirmations = this.pendingConfirmations.filter(
      (pending) => pending.version > version,
    );
    for (const { leaseStartsAt } of confirmed) this.startLease(leaseStartsAt);
  }

  /**
   * Records that another controller can be reached. Only a gateway that has just started sends a
   * request at once: after a network partition all gateways reconnect at the same time.
   */
  handleControllerConnected(): void {
    const hasJustStarted = this.leaseStartedAt === -Infinity && this.requestTimes.size === 0;
    if (hasJustStarted) this.nextRequestAt = -Infinity;
  }

  /** Call before the request is sent, because the lease starts now. */
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

  /** Records that no controller was connected to send the request to. */
  recordUnsent({ number }: ConfirmationRequest): void {
    const { clock, random } = this.options;
    this.requestTimes.delete(number);
    this.consecutiveUnanswered = 0;
    this.nextRequestAt = clock.now() + NO_CONTROLLER_RETRY_MS * (0.5 + random.nextFloat() / 2);
  }

  /** Handles a controller's response: a quorum held `version` after the request arrived. */
  handleConfirmation(number: number, version: number): ConfirmationResult {
    const requestedAt = this.requestTimes.get(number);
    if (requestedAt === undefined) return ConfirmationResult.Late;
    this.discardRequestsUpTo(number);
    this.consecutiveUnanswered = 0;
    this.scheduleNextRequest(number, requestedAt);
    const { clock, faults } = this.options;
    const leaseStartsAt = faults?.countFromResponse === true ? clock.now() : requestedAt;
    if (version <= this.version || faults?.ignoreVersion === true)
      return this.startLease(leaseStartsAt);
    this.pendingConfirmations = [...this.pendingConfirmations, { version, leaseStartsAt }];
    return ConfirmationResult.DocumentMissing;
  }

  private startLease(leaseStartsAt: number): ConfirmationResult {
    const isLate = leaseStartsAt + this.durationMs <= this.options.clock.now();
    if (isLate || leaseStartsAt <= this.leaseStartedAt) return ConfirmationResult.Late;
    this.leaseStartedAt = leaseStartsAt;
    return ConfirmationResult.Renewed;
  }

  /** Keeps the present schedule while a later request is in flight. */
  private scheduleNextRequest(number: number, requestedAt: number): void {
    if (number < this.lastRequestNumber) return;
    const interval = this.options.boundMs * RENEWAL_INTERVAL_FRACTION;
    this.nextRequestAt =
      requestedAt + interval * (1 - RENEWAL_JITTER_FRACTION * this.options.random.nextFloat());
  }

  /** Once a request is answered, responses to earlier ones can't extend the lease. */
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
      ({ leaseStartsAt }) => leaseStartsAt + this.durationMs > now,
    );
  }
}
