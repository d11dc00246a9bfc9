/** Cancels one attempt; takes the place of an `AbortController`. */
import type { CancellationSignal } from '../seams/cancellation-signal.js';

/** Aborted at most once. */
export class AttemptCancellation implements CancellationSignal {
  aborted = false;
  reason: unknown;
  private listeners: (() => void)[] = [];

  /** Calls all listeners; does nothing when called again. */
  abort(reason: unknown): void {
    if (this.aborted) return;
    this.aborted = true;
    this.reason = reason;
    const { listeners } = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }

  addEventListener(_type: 'abort', listener: () => void): void {
    if (!this.aborted) this.listeners.push(listener);
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    const position = this.listeners.indexOf(listener);
    if (position >= 0) this.listeners.splice(position, 1);
  }
}
