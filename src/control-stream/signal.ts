/** Wakes every task that waits for news; one promise serves all of them. */

/** A condition that tasks wait on. A notification wakes those waiting at that moment only. */
export class Signal {
  private resolve: () => void = () => undefined;
  private promise = this.renew();

  /** Resolves at the next {@link Signal.notify}. */
  wait(): Promise<void> {
    return this.promise;
  }

  notify(): void {
    const { resolve } = this;
    this.promise = this.renew();
    resolve();
  }

  private renew(): Promise<void> {
    return new Promise((resolve) => {
      this.resolve = resolve;
    });
  }
}
