/**
 * Tells those that wait for a replica that another one has its address. It answers machines that go
 * dark with requests at work: nothing resets their connections, and a request that may not be sent
 * again would wait for its deadline.
 */

/**
 * What the replica wrote before its end arrives within this time of the proof that it ended.
 * Milliseconds.
 */
export const REPLACED_REPLICA_GRACE_MS = 250;

/** See the module comment. Of one replica. */
export class ReplacementSignal {
  private callbacks = new Set<() => void>();

  /** Calls `callback` once when another replica is known to have the address. */
  once(callback: () => void): void {
    this.callbacks.add(callback);
  }

  /** The callback is no longer wanted. */
  cancel(callback: () => void): void {
    this.callbacks.delete(callback);
  }

  /** Another replica has the address. */
  emit(): void {
    const { callbacks: callbacks } = this;
    this.callbacks = new Set();
    for (const callback of callbacks) callback();
  }
}
