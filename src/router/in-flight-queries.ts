/** The queries a router works on, for the planned stop. */

/** Counts queries and lets the stop wait for the last one. */
export class InFlightQueries {
  private readonly controllers = new Set<AbortController>();
  private drainCallbacks: (() => void)[] = [];

  get size(): number {
    return this.controllers.size;
  }

  /** Runs `work`, handing it a signal that aborts with `callerGone` or {@link cancelAll}. */
  async track<T>(
    callerSignal: AbortSignal | undefined,
    execute: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const onCallerAbort = (): void => controller.abort();
    callerSignal?.addEventListener('abort', onCallerAbort, { once: true });
    if (callerSignal?.aborted === true) controller.abort();
    this.controllers.add(controller);
    try {
      return await execute(controller.signal);
    } finally {
      callerSignal?.removeEventListener('abort', onCallerAbort);
      this.controllers.delete(controller);
      if (this.controllers.size === 0) this.notifyDrained();
    }
  }

  /** Resolves once no query is in flight. */
  whenDrained(): Promise<void> {
    if (this.controllers.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.drainCallbacks.push(resolve));
  }

  cancelAll(): void {
    for (const controller of this.controllers) controller.abort();
  }

  private notifyDrained(): void {
    const { drainCallbacks: callbacks } = this;
    this.drainCallbacks = [];
    for (const callback of callbacks) callback();
  }
}
