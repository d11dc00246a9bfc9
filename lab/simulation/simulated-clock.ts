/** The clock seam in virtual time. */
import type { Clock, Timer } from '../../src/seams/clock.js';
import { EventKind, MICROSECONDS_PER_MILLISECOND, type EventQueue } from './event-queue.js';
import type { ProcessLife } from './process-life.js';

/** How far a machine's time of day is off; changed while its processes run. */
export interface ClockError {
  /** Added to the time of day. Milliseconds. */
  skew: number;
}

/** Time of day at the start of every simulation: 1 January 2026, 00:00 UTC. */
export const EPOCH_START = Date.UTC(2026, 0, 1);

/** {@link Clock} of one process. */
export class SimulatedClock implements Clock {
  private readonly startTime: number;

  constructor(
    private readonly events: EventQueue,
    private readonly life: ProcessLife,
    private readonly error: ClockError,
    /** Milliseconds this clock counts in one millisecond; 1 is exact. */
    private readonly rate: number,
    /** What `now` read when the process started. Milliseconds. */
    private readonly origin: number,
  ) {
    this.startTime = events.now;
  }

  now(): number {
    const elapsed = (this.events.now - this.startTime) / MICROSECONDS_PER_MILLISECOND;
    return this.origin + elapsed * this.rate;
  }

  wallTime(): number {
    return Math.floor(
      EPOCH_START + this.events.now / MICROSECONDS_PER_MILLISECOND + this.error.skew,
    );
  }

  setTimer(milliseconds: number, callback: () => void): Timer {
    // Rounded up: a wait that ends a fraction early would be taken up again at the same moment,
    // and a loop that waits for a deadline would never see time pass.
    const microseconds = Math.ceil((milliseconds / this.rate) * MICROSECONDS_PER_MILLISECOND);
    const event = this.events.schedule(
      microseconds / MICROSECONDS_PER_MILLISECOND,
      EventKind.Timer,
      this.life,
      0,
      callback,
    );
    return {
      cancel: () => {
        event.cancelled = true;
      },
    };
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted === true) {
        reject(signal.reason as Error);
        return;
      }
      const onAbort = (): void => {
        timer.cancel();
        reject(signal?.reason as Error);
      };
      const timer = this.setTimer(milliseconds, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}
