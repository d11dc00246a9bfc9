/**
 * One trial slot per suspected request: at each gateway one attempt of the request runs as a
 * trial, while the others wait for its result. A trial on a hung replica does not block them for
 * long: after a timeout the next trial may begin while the previous one is still in flight.
 */
import type { Clock, Timer } from '../seams/clock.js';

/**
 * Time after which the next trial may begin although the previous one has not ended: several
 * times longer than replicas take to answer, and much shorter than callers' deadlines. Milliseconds.
 */
const SLOT_TIMEOUT_MS = 400;

/** The trials of one request, and the callbacks of waiting attempts. */
interface TrialSlot {
  /** Trials in flight. */
  activeTrials: number;
  /** Whether the next trial may begin. */
  isFree: boolean;
  timer: Timer | undefined;
  readonly waiters: Set<() => void>;
}

/** Keeps a slot only while a trial is in flight or an attempt waits. */
export class TrialSlots {
  private readonly slots = new Map<string, TrialSlot>();

  constructor(private readonly clock: Clock) {}

  /** Whether the next trial may begin. */
  isFree(fingerprint: string): boolean {
    return this.slots.get(fingerprint)?.isFree !== false;
  }

  /** True when the caller may run a trial now, whose end it reports with {@link TrialSlots.release}. */
  tryAcquire(fingerprint: string): boolean {
    const slot = this.slotOf(fingerprint);
    if (!slot.isFree) return false;
    slot.isFree = false;
    slot.activeTrials += 1;
    slot.timer = this.clock.setTimer(SLOT_TIMEOUT_MS, () => this.markFree(fingerprint, slot));
    return true;
  }

  /** Calls `callback` once, when the slot may be free or the request's state may have changed. */
  wait(fingerprint: string, callback: () => void): void {
    this.slotOf(fingerprint).waiters.add(callback);
  }

  /** Withdraws a callback of {@link TrialSlots.wait}. */
  cancel(fingerprint: string, callback: () => void): void {
    const slot = this.slots.get(fingerprint);
    if (slot === undefined) return;
    slot.waiters.delete(callback);
    this.dropIfUnused(fingerprint, slot);
  }

  /** Ends a trial; frees the slot when no other trial of the request is in flight. */
  release(fingerprint: string): void {
    const slot = this.slots.get(fingerprint);
    if (slot === undefined) return;
    slot.activeTrials -= 1;
    if (slot.activeTrials === 0) this.markFree(fingerprint, slot);
  }

  /** Calls and removes all waiting callbacks, in the order in which they were added. */
  notifyWaiters(fingerprint: string): void {
    const slot = this.slots.get(fingerprint);
    if (slot === undefined) return;
    const callbacks = [...slot.waiters];
    slot.waiters.clear();
    this.dropIfUnused(fingerprint, slot);
    for (const callback of callbacks) callback();
  }

  private markFree(fingerprint: string, slot: TrialSlot): void {
    slot.isFree = true;
    slot.timer?.cancel();
    this.notifyWaiters(fingerprint);
  }

  private dropIfUnused(fingerprint: string, slot: TrialSlot): void {
    if (slot.activeTrials === 0 && slot.waiters.size === 0) this.slots.delete(fingerprint);
  }

  private slotOf(fingerprint: string): TrialSlot {
    const known = this.slots.get(fingerprint);
    if (known !== undefined) return known;
    const slot: TrialSlot = { activeTrials: 0, isFree: true, timer: undefined, waiters: new Set() };
    this.slots.set(fingerprint, slot);
    return slot;
  }
}
