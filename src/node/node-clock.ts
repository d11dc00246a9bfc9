/**
 * The clock of the operating system. Time for which the machine was suspended counts: in
 * `now`, and for timers, which are set anew once it shows that some of them are overdue.
 *
 * A timer that is late runs after what has arrived meanwhile was read. The event loop runs timers
 * before it polls sockets, so a timeout would otherwise strike after each pause of the process,
 * although what it waits for is already here.
 */
import type { Clock, Timer } from '../seams/clock.js';
import { SYSTEM_READINGS, SuspensionMeter, type ClockReadings } from './suspension-meter.js';

/** How often the clock looks for a suspension while timers wait and nobody reads it. Milliseconds. */
const WATCH_INTERVAL_MS = 250;

/** Lag of the timers of an idle process; a timer that is later was held up. Milliseconds. */
const IDLE_TIMER_LAG_MS = 2;

/** A timer that has not run yet. */
interface PendingTimer {
  /** Reading of the clock. */
  readonly dueAt: number;
  readonly callback: () => void;
  handle: NodeJS.Timeout;
  /** Set once the timer is late and waits until sockets were polled. */
  afterPoll: NodeJS.Immediate | undefined;
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

  setTimer(milliseconds: number, callback: () => void): Timer {
    this.startWatch();
    const timer: PendingTimer = {
      dueAt: this.now() + milliseconds,
      callback,
      handle: setTimeout(() => this.fire(timer), milliseconds),
      afterPoll: undefined,
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
    const lateMs = this.readings.steady() + this.suspended - timer.dueAt;
    if (lateMs <= IDLE_TIMER_LAG_MS) this.run(timer);
    else timer.afterPoll = setImmediate(() => this.run(timer));
  }

  private run(timer: PendingTimer): void {
    this.remove(timer);
    timer.callback();
  }

  private cancel(timer: PendingTimer): void {
    clearTimeout(timer.handle);
    clearImmediate(timer.afterPoll);
    this.remove(timer);
  }

  /** The machine was suspended: timers of the runtime wait for that much too long. */
  private resetTimers(now: number): void {
    for (const timer of this.pending) {
      if (timer.afterPoll !== undefined) continue;
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
