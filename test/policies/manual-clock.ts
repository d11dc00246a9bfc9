/** A clock that a test moves by hand. */
import type { Clock, Timer } from '../../src/seams/clock.js';

interface PendingTimer {
  readonly due: number;
  readonly callback: () => void;
}

/** Runs due callbacks within {@link ManualClock.advance}, in order of their time. */
export class ManualClock implements Clock {
  private time = 0;
  private readonly timers = new Set<PendingTimer>();

  now(): number {
    return this.time;
  }

  wallTime(): number {
    return this.time;
  }

  setTimer(milliseconds: number, callback: () => void): Timer {
    const timer: PendingTimer = { due: this.time + milliseconds, callback };
    this.timers.add(timer);
    return { cancel: () => this.timers.delete(timer) };
  }

  sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => this.setTimer(milliseconds, resolve));
  }

  advance(milliseconds: number): void {
    const end = this.time + milliseconds;
    for (let next = this.nextDue(end); next !== undefined; next = this.nextDue(end)) {
      this.timers.delete(next);
      this.time = next.due;
      next.callback();
    }
    this.time = end;
  }

  private nextDue(end: number): PendingTimer | undefined {
    const due = [...this.timers].filter((timer) => timer.due <= end);
    return due.sort((left, right) => left.due - right.due)[0];
  }
}
