/**
 * A part of some work that was reduced because of overload and grows back with time: an overload that
 * nobody meets any more is over, also where nothing is asked that could show it.
 */

/** Time after the last sign of overload in which the part stays as it is. */
const RECOVERY_DELAY_MS = 1_000;
/** By how much it grows in each second after that. */
const RECOVERY_PER_SECOND = 0.1;
const MILLISECONDS_PER_SECOND = 1_000;

/** From 0 to 1. Times are clock readings in milliseconds. */
export class RecoveringPart {
  private value = 1;
  private growsFrom = -Infinity;

  /** The part at `now`. */
  at(now: number): number {
    if (this.value >= 1) return 1;
    const growingMs = Math.max(0, now - this.growsFrom);
    return Math.min(1, this.value + (growingMs / MILLISECONDS_PER_SECOND) * RECOVERY_PER_SECOND);
  }

  /** Changes the part without a sign of overload: one that was growing grows on. */
  set(value: number, now: number): void {
    this.value = value;
    this.growsFrom = Math.max(this.growsFrom, now);
  }

  /** Holds the part for a while, as overload was met at `now`. */
  hold(now: number): void {
    this.value = this.at(now);
    this.growsFrom = now + RECOVERY_DELAY_MS;
  }
}
