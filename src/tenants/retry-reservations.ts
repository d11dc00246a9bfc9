/**
 * Future tokens of one tenant, reserved for refused requests that are retried at their retry time.
 * Without reservations a burst of new requests takes the tokens that were promised to refused ones.
 */
import type { ReservationLimit } from './reservation-limit.js';

/** A token reserved from a time on for the retry of one request. */
interface RetryReservation {
  /** Identity of the request, the same each time it is sent. */
  readonly caller: string;
  /** Clock reading in milliseconds. */
  readonly dueAt: number;
  isClaimed: boolean;
}

/** Claimed and expired reservations are dropped from the queue in batches of this number. */
const COMPACTION_SIZE = 256;

/** So many callers in sequence have to stay away until tokens are no longer held for the others. */
const MAXIMUM_EXPIRED_IN_SEQUENCE = 16;

/** Reservations in the order of their due times. Times are clock readings in milliseconds. */
export class RetryReservations {
  private queue: RetryReservation[] = [];
  /** Index of the first reservation that isn't dropped. */
  private head = 0;
  private unclaimed = 0;
  /** Reservations that expired since the last one was claimed. */
  private expiredInSequence = 0;

  constructor(private readonly limit: ReservationLimit) {}

  /** Reservations that are neither claimed nor expired. */
  get size(): number {
    return this.unclaimed;
  }

  /** Due time of the last reservation; -Infinity without any. */
  get lastDueAt(): number {
    return this.queue.at(-1)?.dueAt ?? -Infinity;
  }

  /** Adds a reservation, in the order of due times. */
  add(caller: string, dueAt: number): void {
    this.queue.splice(this.indexAfter(dueAt), 0, { caller, dueAt, isClaimed: false });
    this.unclaimed += 1;
    this.limit.recordAdded();
  }

  /** Whether the caller has an unclaimed reservation that is due within `toleranceMs` of `time`. */
  has(caller: string, time: number, toleranceMs: number): boolean {
    const end = this.indexAfter(time + toleranceMs);
    for (let index = this.indexAfter(time - toleranceMs); index < end; index += 1) {
      const reservation = this.queue[index] as RetryReservation;
      if (!reservation.isClaimed && reservation.caller === caller) return true;
    }
    return false;
  }

  /** The earliest time from `time` on that is at least `spacingMs` from every future reservation. */
  findGap(time: number, spacingMs: number): number {
    let gapAt = time;
    for (let index = this.indexAfter(time - spacingMs); index < this.queue.length; index += 1) {
      const { dueAt } = this.queue[index] as RetryReservation;
      if (dueAt >= gapAt + spacingMs) break;
      gapAt = Math.max(gapAt, dueAt + spacingMs);
    }
    return gapAt;
  }

  /** Number of unclaimed reservations that are due at or before `time`, which isn't in the past. */
  countUntil(time: number): number {
    return this.unclaimed - (this.queue.length - this.indexAfter(time));
  }

  /**
   * Whether reserved tokens must be held back from other requests. While no caller comes back, held
   * tokens would only be lost to requests within the limit.
   */
  get isHolding(): boolean {
    return this.expiredInSequence < MAXIMUM_EXPIRED_IN_SEQUENCE;
  }

  /** Claims the earliest due reservation of the caller; false when there is none. */
  claim(caller: string, now: number): boolean {
    for (const reservation of this.dueAt(now)) {
      if (reservation.isClaimed || reservation.caller !== caller) continue;
      reservation.isClaimed = true;
      this.removeUnclaimed();
      this.expiredInSequence = 0;
      return true;
    }
    return false;
  }

  /** Drops the reservations that were due before `time`: their callers haven't come back. */
  expireBefore(time: number): void {
    for (; this.head < this.queue.length; this.head += 1) {
      const first = this.queue[this.head] as RetryReservation;
      if (!first.isClaimed && first.dueAt >= time) break;
      if (!first.isClaimed) this.recordExpired();
    }
    if (this.head < COMPACTION_SIZE && this.head < this.queue.length) return;
    this.queue = this.queue.slice(this.head);
    this.head = 0;
  }

  /** Due time of the next reservation that isn't due yet; Infinity without any. */
  nextDueAt(now: number): number {
    return this.queue[this.indexAfter(now)]?.dueAt ?? Infinity;
  }

  private removeUnclaimed(): void {
    this.unclaimed -= 1;
    this.limit.recordRemoved();
  }

  private recordExpired(): void {
    this.removeUnclaimed();
    this.expiredInSequence = this.unclaimed === 0 ? 0 : this.expiredInSequence + 1;
  }

  /** Index of the first reservation that is due after `time`. */
  private indexAfter(time: number): number {
    if (time >= this.lastDueAt) return this.queue.length;
    let [low, high] = [this.head, this.queue.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.queue[middle] as RetryReservation).dueAt > time) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  private *dueAt(now: number): Iterable<RetryReservation> {
    for (let index = this.head; index < this.queue.length; index += 1) {
      const reservation = this.queue[index] as RetryReservation;
      if (reservation.dueAt > now) return;
      yield reservation;
    }
  }
}
