/** Virtual time: timers fire in order, and all promises settle between two of them. */
import TinyQueue from 'tinyqueue';
import type { Clock, Timer } from '../../../src/seams/clock.js';

interface ScheduledTimer {
  readonly at: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

const WALL_TIME_ORIGIN = 1_700_000_000_000;

export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private readonly queue = new TinyQueue<ScheduledTimer>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );

  now(): number {
    return this.time;
  }

  wallTime(): number {
    return WALL_TIME_ORIGIN + this.time;
  }

  setTimer(milliseconds: number, callback: () => void): Timer {
    const timer: ScheduledTimer = {
      at: this.time + Math.max(0, milliseconds),
      order: (this.order += 1),
      callback,
    };
    this.queue.push(timer);
    return { cancel: () => (timer.callback = undefined) };
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted === true) {
        reject(signal.reason as Error);
        return;
      }
      const timer = this.setTimer(milliseconds, resolve);
      signal?.addEventListener('abort', () => {
        timer.cancel();
        reject(signal.reason as Error);
      });
    });
  }

  /** Lets `milliseconds` pass. */
  async advance(milliseconds: number): Promise<void> {
    await this.advanceUntil(() => false, milliseconds);
  }

  /** Lets time pass until the condition holds. False when `limit` milliseconds passed first. */
  async advanceUntil(condition: () => boolean, limit: number): Promise<boolean> {
    const end = this.time + limit;
    for (;;) {
      await settlePromises();
      if (condition()) return true;
      const next = this.queue.peek();
      if (next === undefined || next.at > end) break;
      this.queue.pop();
      this.time = Math.max(this.time, next.at);
      next.callback?.();
    }
    this.time = end;
    await settlePromises();
    return condition();
  }

  /** Lets time pass until a promise settles, and returns its value or throws its error. */
  async run<T>(promise: Promise<T>, limit = 120_000): Promise<T> {
    let settled = false;
    const note = (): void => {
      settled = true;
    };
    promise.then(note, note);
    if (!(await this.advanceUntil(() => settled, limit))) {
      throw new Error(`not settled within ${limit} ms of virtual time`);
    }
    return promise;
  }
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
