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
const LONGEST_TURN_MS = 400;

/** The trials of one request, and who waits. */
interface Turns {
  /** Trials that have not ended. */
  active: number;
  /** Whether the next one may begin. */
  isFree: boolean;
  timer: Timer | undefined;
  readonly waiting: Set<() => void>;
}

/** See the module comment. */
export class TrialTurns {
  private readonly byFingerprint = new Map<string, Turns>();

  constructor(private readonly clock: Clock) {}

  /** Whether the next trial may begin. */
  isFree(fingerprint: string): boolean {
    return this.byFingerprint.get(fingerprint)?.isFree !== false;
  }

  /** True when the caller may try the request, until {@link TrialTurns.end}. */
  take(fingerprint: string): boolean {
    const turns = this.turnsOf(fingerprint);
    if (!turns.isFree) return false;
    turns.isFree = false;
    turns.active += 1;
    turns.timer = this.clock.setTimer(LONGEST_TURN_MS, () => this.free(fingerprint, turns));
    return true;
  }

  /** Calls `callback` once, when it may be the caller's turn or more is known of the request. */
  wait(fingerprint: string, callback: () => void): void {
    this.turnsOf(fingerprint).waiting.add(callback);
  }

  /** The callback is no longer wanted. */
  cancel(fingerprint: string, callback: () => void): void {
    const turns = this.byFingerprint.get(fingerprint);
    if (turns === undefined) return;
    turns.waiting.delete(callback);
    this.dropIfUnused(fingerprint, turns);
  }

  /** A trial has ended. */
  end(fingerprint: string): void {
    const turns = this.byFingerprint.get(fingerprint);
    if (turns === undefined) return;
    turns.active -= 1;
    if (turns.active === 0) this.free(fingerprint, turns);
  }

  /** More is known of the request: those that wait look again, in the order in which they came. */
  wake(fingerprint: string): void {
    const turns = this.byFingerprint.get(fingerprint);
    if (turns === undefined) return;
    const woken = [...turns.waiting];
    turns.waiting.clear();
    this.dropIfUnused(fingerprint, turns);
    for (const callback of woken) callback();
  }

  private free(fingerprint: string, turns: Turns): void {
    turns.isFree = true;
    turns.timer?.cancel();
    this.wake(fingerprint);
  }

  private dropIfUnused(fingerprint: string, turns: Turns): void {
    if (turns.active === 0 && turns.waiting.size === 0) this.byFingerprint.delete(fingerprint);
  }

  private turnsOf(fingerprint: string): Turns {
    const known = this.byFingerprint.get(fingerprint);
    if (known !== undefined) return known;
    const turns: Turns = { active: 0, isFree: true, timer: undefined, waiting: new Set() };
    this.byFingerprint.set(fingerprint, turns);
    return turns;
  }
}
