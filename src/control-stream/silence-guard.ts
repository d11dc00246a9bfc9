/** Closes connections on which nothing arrives, because a partitioned peer sends no close. */
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';

/** Receive timeout of one connection. */
export class SilenceGuard {
  private lastReceivedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly connection: MessageConnection,
    /** Time without a received frame after which the connection is closed. Milliseconds. */
    private readonly timeoutMs: number,
  ) {
    this.lastReceivedAt = clock.now();
  }

  /** Must be called for each received frame. */
  recordReceived(): void {
    this.lastReceivedAt = this.clock.now();
  }

  /** Watches the connection; resolves once either side has closed it. */
  async run(): Promise<void> {
    const closed = new AbortController();
    void this.connection.closed.then(() => closed.abort(new Error('closed')));
    while (!closed.signal.aborted) {
      const remaining = this.lastReceivedAt + this.timeoutMs - this.clock.now();
      // A remainder below the clock's resolution would never elapse.
      if (remaining < 1) return this.connection.close();
      await this.clock.sleep(remaining, closed.signal).catch(() => undefined);
    }
  }
}
