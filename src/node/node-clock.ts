/**
 * The clock of the operating system. Time for which the machine was suspended counts: in
 * `now`, and for timers, which are set anew once it shows that some of them are overdue.
 *
 * The event loop runs timers before it polls sockets. After each pause of the process a timeout
 * would so strike although what it waits for is here; see `TimerOptions.afterReading`.
 */
import type { Clock, Timer, TimerOptions } from '../seams/clock.js';
import { SYSTEM_READINGS, SuspensionMeter, type ClockReadings } from './suspension-meter.js';

/** How often the clock looks for a suspension while timers wait and nobody reads it. Milliseconds. */
const WATCH_INTERVAL_MS = 250;

/** A timer that has not run yet. */
interface PendingTimer {
  /** Reading of the clock. */
  readonly dueAt: number;
  readonly callback: () => void;
  /** Whether it waits until sockets were polled once it is due. */
  readonly afterReading: boolean;
  handle: NodeJS.Timeout;
  /** Set once it is due and waits for that. */
  polling: NodeJS.Immediate | undefined;
}

/** Production {@link Clock}. */
export class NodeClock implements Clock {
  private readonly meter: SuspensionMeter;
  private readonly pending = new Set<PendingTimer>();
  private suspended = 0;
  private watch: NodeJS.Timeout | undefined;

  constructor(private readonly readings: ClockReadings = SYSTEM_READINGS) {
    this.meter = new SuspensionMeter(readings);
  }

  now(): number {
    const steady = this.readings.steady();
    const suspended = this.meter.suspendedAt(steady);
    if (suspended !== this.suspended) {
      this.suspended = suspended;
      this.resetTimers(steady + suspended);
    }
    return steady + suspended;
  }

  wallTime(): number {
    return this.readings.wall();
  }

  setTimer(
    milliseconds: number,
    callback: () => void,
    { afterReading = false }: TimerOptions = {},
  ): Timer {
    this.startWatch();
    const timer: PendingTimer = {
      dueAt: this.now() + milliseconds,
      callback,
      afterReading,
      handle: setTimeout(() => this.fire(timer), milliseconds),
      polling: undefined,
    };
    this.pending.add(timer);
    return { cancel: () => this.cancel(timer) };
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

  private fire(timer: PendingTimer): void {
    if (timer.afterReading) timer.polling = setImmediate(() => this.run(timer));
    else this.run(timer);
  }

  private run(timer: PendingTimer): void {
    this.remove(timer);
    timer.callback();
  }

  private cancel(timer: PendingTimer): void {
    clearTimeout(timer.handle);
    clearImmediate(timer.polling);
    this.remove(timer);
  }

  /** The machine was suspended: timers of the runtime wait for that much too long. */
  private resetTimers(now: number): void {
    for (const timer of this.pending) {
      if (timer.polling !== undefined) continue;
      clearTimeout(timer.handle);
      const rest = Math.max(0, timer.dueAt - now);
      timer.handle = setTimeout(() => this.fire(timer), rest);
    }
  }

  private remove(timer: PendingTimer): void {
    this.pending.delete(timer);
    if (this.pending.size > 0) return;
    clearInterval(this.watch);
    this.watch = undefined;
  }

  private startWatch(): void {
    this.watch ??= setInterval(() => this.now(), WATCH_INTERVAL_MS).unref();
  }
}
