/** Lets one task wait until it is woken or a time has passed. */
import type { Clock } from '../seams/clock.js';

/** Wake-up signal for one waiter at a time; a wake before the wait is not lost. */
export class Wakeup {
  private pending = false;
  private waiter: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the current wait, or the next one when none is in progress. */
  wake(): void {
    this.pending = true;
    this.waiter?.();
  }

  /** Resolves to true when woken, to false when `milliseconds` passed first. */
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
