/** Closes a connection over which nothing arrives: its peer may be cut off in silence. */
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';

/** Of one connection. */
export class SilenceGuard {
  private lastReceivedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly connection: MessageConnection,
    /** Milliseconds. */
    private readonly timeoutMs: number,
  ) {
    this.lastReceivedAt = clock.now();
  }

  /** Something arrived. */
  recordReceived(): void {
    this.lastReceivedAt = this.clock.now();
  }

  /** Resolves once the connection is closed, by whomever. */
  async run(): Promise<void> {
    const closed = new AbortController();
    void this.connection.closed.then(() => closed.abort(new Error('closed')));
    while (!closed.signal.aborted) {
      const remaining = this.lastReceivedAt + this.timeoutMs - this.clock.now();
      // A rest below the clock's resolution would never pass.
      if (remaining < 1) return this.connection.close();
      await this.clock.sleep(remaining, closed.signal).catch(() => undefined);
    }
  }
}
