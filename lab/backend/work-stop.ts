/** The one signal that ends a stand-in back end's work on a request, and why it ended. */
import type { Clock, Timer } from '../../src/seams/clock.js';

/** Why work was ended before it was done. */
export type StopReason = 'cancelled' | 'deadline' | 'crashed';

/** Joins cancellation, crash and deadline; {@link WorkStop.dispose} must follow. */
export class WorkStop {
  private readonly controller = new AbortController();
  private stopReason: StopReason | undefined;
  private readonly onCancelled = (): void => this.stop('cancelled');
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly cancelled: AbortSignal,
  ) {
    if (cancelled.aborted) this.stop('cancelled');
    cancelled.addEventListener('abort', this.onCancelled, { once: true });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Undefined while nothing has ended the work. */
  get reason(): StopReason | undefined {
    return this.stopReason;
  }

  /** Ends the work because the back end crashed. */
  crash(): void {
    this.stop('crashed');
  }

  /** Ends the work after `milliseconds`. */
  startDeadline(milliseconds: number): void {
    this.timer = this.clock.setTimer(Math.max(0, milliseconds), () => this.stop('deadline'));
  }

  /** Lets the work outlive its deadline. */
  liftDeadline(): void {
    this.timer?.cancel();
  }

  /** Waits; returns early, without an error, when the work is ended. */
  async wait(milliseconds: number): Promise<void> {
    if (milliseconds <= 0 || this.signal.aborted) return;
    try {
      await this.clock.sleep(milliseconds, this.signal);
    } catch (error) {
      if (!this.signal.aborted) throw error;
    }
  }

  /** Waits until the work is ended. */
  async waitForever(): Promise<void> {
    if (this.signal.aborted) return;
    await new Promise<void>((resolve) => {
      this.signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }

  dispose(): void {
    this.timer?.cancel();
    this.cancelled.removeEventListener('abort', this.onCancelled);
  }

  private stop(reason: StopReason): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = reason;
    this.controller.abort(new Error(reason));
  }
}
