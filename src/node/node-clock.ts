/** The clock of the operating system. */
import type { Clock, Timer } from '../seams/clock.js';

/** Production {@link Clock}. */
export class NodeClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  setTimer(milliseconds: number, callback: () => void): Timer {
    const handle = setTimeout(callback, milliseconds);
    return { cancel: () => clearTimeout(handle) };
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted === true) {
        reject(signal.reason as Error);
        return;
      }
      const onAbort = (): void => {
        clearTimeout(handle);
        reject(signal?.reason as Error);
      };
      const handle = setTimeout(() => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      }, milliseconds);
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}
