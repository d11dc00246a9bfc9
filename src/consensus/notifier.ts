/** Wakes tasks that wait for a condition to change. */
import type { Clock, Timer } from '../seams/clock.js';

/** Waiters check their condition, wait, and check again. */
export class Notifier {
  private waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Wakes every current waiter. */
  notify(): void {
    const woken = this.waiters;
    this.waiters = new Set();
    for (const wake of woken) wake();
  }

  /**
   * Resolves at the next {@link Notifier.notify}, after `milliseconds`
   * (Infinity for never), or when `signal` aborts, whichever is first.
   */
  wait(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || milliseconds <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: Timer | undefined;
      const wake = (): void => {
        timer?.cancel();
        this.waiters.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.waiters.add(wake);
      signal.addEventListener('abort', wake, { once: true });
      if (milliseconds !== Infinity) timer = this.clock.setTimer(milliseconds, wake);
    });
  }
}
