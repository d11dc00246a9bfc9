/** The queries a router works on, for the planned stop. */

/** Counts queries and lets the stop wait for the last one. */
export class InFlightQueries {
  private readonly cancellations = new Set<AbortController>();
  private waiters: (() => void)[] = [];

  get size(): number {
    return this.cancellations.size;
  }

  /** Runs `work`, handing it a signal that aborts with `callerGone` or {@link cancelAll}. */
  async track<T>(
    callerGone: AbortSignal | undefined,
    work: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const onGone = (): void => controller.abort();
    callerGone?.addEventListener('abort', onGone, { once: true });
    if (callerGone?.aborted === true) controller.abort();
    this.cancellations.add(controller);
    try {
      return await work(controller.signal);
    } finally {
      callerGone?.removeEventListener('abort', onGone);
      this.cancellations.delete(controller);
      if (this.cancellations.size === 0) this.wakeWaiters();
    }
  }

  /** Resolves once no query is in flight. */
  drained(): Promise<void> {
    if (this.cancellations.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  cancelAll(): void {
    for (const controller of this.cancellations) controller.abort();
  }

  private wakeWaiters(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }
}
