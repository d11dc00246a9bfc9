/**
 * The clock seam: every reading of time and every timer in product code goes
 * through this interface, so that the simulator can run the same code in
 * virtual time.
 */

/** A scheduled callback that can still be cancelled. */
export interface Timer {
  /** Prevents the callback from running. Cancelling twice, or after it ran, does nothing. */
  cancel(): void;
}

/** How a timer runs. */
export interface TimerOptions {
  /**
   * For timers that conclude something from silence, such as timeouts: what has arrived by then is read
   * first. Other timers don't wait for that, which takes long in a busy process.
   */
  readonly afterReading?: boolean;
}

/** Source of time and timers. All durations are milliseconds. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary origin; never steps back. */
  now(): number;

  /**
   * Milliseconds since the Unix epoch, for records that people read. May jump;
   * no decision depends on it.
   */
  wallTime(): number;

  /** Runs `callback` once after `milliseconds`. */
  setTimer(milliseconds: number, callback: () => void, options?: TimerOptions): Timer;

  /**
   * Resolves after `milliseconds`.
   *
   * @throws the signal's reason when `signal` aborts first.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}
