/** A clock that advances only when a test advances it. */
import type { Clock, Timer } from '../../../src/seams/clock.js';

interface PendingTimer {
  readonly at: number;
  readonly callback: () => void;
}

/** Resolves after all tasks that are ready have run. */
export function settleTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

export class VirtualClock implements Clock {
  private time = 0;
  private readonly timers = new Set<PendingTimer>();

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
    const timer = { at: this.time + Math.max(0, milliseconds), callback };
    this.timers.add(timer);
    return { cancel: () => void this.timers.delete(timer) };
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = (): void => {
        timer.cancel();
        reject(signal?.reason as Error);
      };
      const timer = this.setTimer(milliseconds, () => {
        signal?.removeEventListener('abort', fail);
        resolve();
      });
      if (signal?.aborted === true) fail();
      else signal?.addEventListener('abort', fail, { once: true });
    });
  }

  /** Advances the clock by `milliseconds` and runs every timer at its due time. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    await settleTasks();
    for (let next = this.nextTimer(end); next !== undefined; next = this.nextTimer(end)) {
      this.fire(next);
      await settleTasks();
    }
    this.time = end;
  }

  /** Advances the clock until `promise` settles; rejects when it has not within `limit` milliseconds. */
  async runUntil<T>(promise: Promise<T>, limit = 120_000): Promise<T> {
    let settled = false;
    const finish = (): void => void (settled = true);
    promise.then(finish, finish);
    await settleTasks();
    const end = this.time + limit;
    while (!settled) {
      const next = this.nextTimer(end);
      if (next === undefined) throw new Error(`not settled within ${limit} ms of virtual time`);
      this.fire(next);
      await settleTasks();
    }
    return promise;
  }

  private nextTimer(until: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    for (const timer of this.timers) {
      if (timer.at <= until && (earliest === undefined || timer.at < earliest.at)) earliest = timer;
    }
    return earliest;
  }

  private fire(timer: PendingTimer): void {
    this.timers.delete(timer);
    this.time = timer.at;
    timer.callback();
  }
}
