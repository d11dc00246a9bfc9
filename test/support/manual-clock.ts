/** A clock that a test moves by hand, for code that otherwise runs on real sockets. */
import type { Clock, Timer } from '../../src/seams/clock.js';

interface PendingTimer {
  readonly due: number;
  readonly callback: () => void;
}

/** Starts at zero; callbacks run within {@link ManualClock.advance}, in order of their time. */
export class ManualClock implements Clock {
  private time = 0;
  private readonly timers = new Set<PendingTimer>();

  /** Number of timers that neither ran nor were cancelled. */
  get pendingTimers(): number {
    return this.timers.size;
  }

  now(): number {
    return this.time;
  }

  wallTime(): number {
    return this.time;
  }

  setTimer(milliseconds: number, callback: () => void): Timer {
    const timer = { due: this.time + milliseconds, callback };
    this.timers.add(timer);
    return { cancel: () => void this.timers.delete(timer) };
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = this.setTimer(milliseconds, resolve);
      signal?.addEventListener('abort', () => {
        timer.cancel();
        reject(signal.reason as Error);
      });
    });
  }

  /** Moves time forward, running what falls due on the way. */
  advance(milliseconds: number): void {
    const end = this.time + milliseconds;
    for (let next = this.nextDue(end); next !== undefined; next = this.nextDue(end)) {
      this.time = next.due;
      this.timers.delete(next);
      next.callback();
    }
    this.time = end;
  }

  private nextDue(end: number): PendingTimer | undefined {
    const due = [...this.timers].filter((timer) => timer.due <= end);
    return due.sort((left, right) => left.due - right.due)[0];
  }
}

/** Lets real sockets make progress, turn by turn, until `condition` holds. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}
