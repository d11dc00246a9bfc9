/**
 * Notifies attempts in flight that another replica has taken over the address of their replica.
 * When a machine loses power or network, nothing resets its connections, and a request that must
 * not be retried would wait until its deadline.
 */

/** Time for data that a replica sent before it ended to arrive after its replacement is known. */
export const REPLACED_REPLICA_GRACE_MS = 250;

/** Replacement of one replica; it may be signalled more than once. */
export class ReplacementSignal {
  private callbacks = new Set<() => void>();

  /** Calls `callback` once, at the next {@link ReplacementSignal.emit}. */
  once(callback: () => void): void {
    this.callbacks.add(callback);
  }

  /** Removes a callback of {@link ReplacementSignal.once}. */
  cancel(callback: () => void): void {
    this.callbacks.delete(callback);
  }

  /** Calls and removes all callbacks: another replica has taken over the address. */
  emit(): void {
    const { callbacks } = this;
    this.callbacks = new Set();
    for (const callback of callbacks) callback();
  }
}
