/** Wakes tasks that wait for a condition to change. */
import type { Clock, Timer } from '../seams/clock.js';

/** Waiters check their condition, wait, and check again. */
export class Notifier {
  private waiters = new Set<() => void>();
  private closed = false;

  constructor(private readonly clock: Clock) {}

  /** Wakes every current waiter. */
  notify(): void {
    const woken = this.waiters;
    this.waiters = new Set();
    for (const wake of woken) wake();
  }

  /** Wakes every current waiter, and lets none wait again. */
  close(): void {
    this.closed = true;
    this.notify();
  }

  /** Resolves at the next {@link Notifier.notify}, or after `milliseconds` (Infinity for never). */
  wait(milliseconds: number): Promise<void> {
    if (this.closed || milliseconds <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: Timer | undefined;
      const wake = (): void => {
        timer?.cancel();
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      if (milliseconds !== Infinity) timer = this.clock.setTimer(milliseconds, wake);
    });
  }
}
