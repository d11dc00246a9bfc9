/** Lets one task sleep until something happened or a time has passed. */
import type { Clock } from '../seams/clock.js';

/** For one waiter at a time. */
export class Wakeup {
  private pending = false;
  private waiter: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the wait under way, or the next one. */
  wake(): void {
    this.pending = true;
    this.waiter?.();
  }

  /** True when woken, false when `milliseconds` passed first. */
  wait(milliseconds: number): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel();
        this.waiter = undefined;
        const woken = this.pending;
        this.pending = false;
        resolve(woken);
      };
      const timer = this.clock.setTimer(milliseconds, finish);
      this.waiter = finish;
      if (this.pending) finish();
    });
  }
}
