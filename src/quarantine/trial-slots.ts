/**
 * Whose turn it is to try a suspected request: of all sendings of one request at a gateway,
 * one at a time, while the others wait for what becomes of it. A trial at a replica that hangs
 * does not hold them up for long: after a while the next one may begin beside it.
 */
import type { Clock, Timer } from '../seams/clock.js';

/**
 * After this the next trial may begin although the one before has not ended: several times what
 * replicas take for an answer, and far less than callers wait. Milliseconds.
 */
const SLOT_TIMEOUT_MS = 400;

/** The trials of one request, and who waits. */
interface TrialSlot {
  /** Trials that have not ended. */
  activeTrials: number;
  /** Whether the next one may begin. */
  isFree: boolean;
  timer: Timer | undefined;
  readonly waiters: Set<() => void>;
}

/** See the module comment. */
export class TrialSlots {
  private readonly byFingerprint = new Map<string, TrialSlot>();

  constructor(private readonly clock: Clock) {}

  /** Whether the next trial may begin. */
  isFree(fingerprint: string): boolean {
    return this.byFingerprint.get(fingerprint)?.isFree !== false;
  }

  /** True when the caller may try the request, until {@link TrialSlots.release}. */
  tryAcquire(fingerprint: string): boolean {
    const turns = this.slotOf(fingerprint);
    if (!turns.isFree) return false;
    turns.isFree = false;
    turns.activeTrials += 1;
    turns.timer = this.clock.setTimer(SLOT_TIMEOUT_MS, () => this.markFree(fingerprint, turns));
    return true;
  }

  /** Calls `callback` once, when it may be the caller's turn or more is known of the request. */
  wait(fingerprint: string, callback: () => void): void {
    this.slotOf(fingerprint).waiters.add(callback);
  }

  /** The callback is no longer wanted. */
  cancel(fingerprint: string, callback: () => void): void {
    const turns = this.byFingerprint.get(fingerprint);
    if (turns === undefined) return;
    turns.waiters.delete(callback);
    this.dropIfUnused(fingerprint, turns);
  }

  /** A trial has ended. */
  release(fingerprint: string): void {
    const turns = this.byFingerprint.get(fingerprint);
    if (turns === undefined) return;
    turns.activeTrials -= 1;
    if (turns.activeTrials === 0) this.markFree(fingerprint, turns);
  }

  /** More is known of the request: those that wait look again, in the order in which they came. */
  notifyWaiters(fingerprint: string): void {
    const turns = this.byFingerprint.get(fingerprint);
    if (turns === undefined) return;
    const woken = [...turns.waiters];
    turns.waiters.clear();
    this.dropIfUnused(fingerprint, turns);
    for (const callback of woken) callback();
  }

  private markFree(fingerprint: string, turns: TrialSlot): void {
    turns.isFree = true;
    turns.timer?.cancel();
    this.notifyWaiters(fingerprint);
  }

  private dropIfUnused(fingerprint: string, turns: TrialSlot): void {
    if (turns.activeTrials === 0 && turns.waiters.size === 0)
      this.byFingerprint.delete(fingerprint);
  }

  private slotOf(fingerprint: string): TrialSlot {
    const known = this.byFingerprint.get(fingerprint);
    if (known !== undefined) return known;
    const turns: TrialSlot = {
      activeTrials: 0,
      isFree: true,
      timer: undefined,
      waiters: new Set(),
    };
    this.byFingerprint.set(fingerprint, turns);
    return turns;
  }
}
