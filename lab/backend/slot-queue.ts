/** The slots of a stand-in back end and the bounded first-in-first-out queue before them. */
import type { Clock, Timer } from '../../src/seams/clock.js';

/** How a wait for a slot ended. Only `acquired` holds a slot. */
export type SlotOutcome = 'acquired' | 'queue_full' | 'expired' | 'cancelled';

interface Waiter {
  settle(outcome: SlotOutcome): void;
}

/** Hands out slots in order of arrival. */
export class SlotQueue {
  private busy = 0;
  private readonly waiters = new Set<Waiter>();

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
    private readonly queueLimit: number,
  ) {}

  /** Requests in slots and in the queue together. */
  get load(): number {
    return this.busy + this.waiters.size;
  }

  /**
   * Waits for a slot for at most `patience` milliseconds, or until `signal`
   * aborts. Holders of a slot call {@link SlotQueue.release} exactly once.
   */
  acquire(patience: number, signal: AbortSignal): Promise<SlotOutcome> {
    if (signal.aborted) return Promise.resolve('cancelled');
    if (patience <= 0) return Promise.resolve('expired');
    if (this.busy < this.slots) {
      this.busy += 1;
      return Promise.resolve('acquired');
    }
    if (this.waiters.size >= this.queueLimit) return Promise.resolve('queue_full');
    return this.wait(patience, signal);
  }

  release(): void {
    const [next] = this.waiters;
    if (next === undefined) {
      this.busy -= 1;
      return;
    }
    next.settle('acquired');
  }

  private wait(patience: number, signal: AbortSignal): Promise<SlotOutcome> {
    return new Promise((resolve) => {
      const onAbort = (): void => waiter.settle('cancelled');
      const timer: Timer = this.clock.setTimer(patience, () => waiter.settle('expired'));
      const waiter: Waiter = {
        settle: (outcome) => {
          if (!this.waiters.delete(waiter)) return;
          timer.cancel();
          signal.removeEventListener('abort', onAbort);
          resolve(outcome);
        },
      };
      this.waiters.add(waiter);
      signal.addEventListener('abort', onAbort, { once: true });
    });
  }
}
