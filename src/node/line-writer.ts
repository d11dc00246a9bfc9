/**
 * Writes log lines without ever making the process wait for their reader. Lines
 * are handed over one batch at a time; while a reader does not read, lines are
 * kept up to a bound, and further ones are dropped and counted.
 */

/** Hands bytes to the system; calls back with the error or with how many it took. */
export type WriteBytes = (
  bytes: Uint8Array,
  callback: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Bytes of lines that are kept while their reader does not read. */
const MAXIMUM_PENDING_BYTES = 262_144;
/** Pause before a batch is offered again that the system had no room for. Milliseconds. */
const RETRY_INTERVAL_MS = 50;
const EMPTY = new Uint8Array(0);

/** See the module comment. */
export class LineWriter {
  private pending: string[] = [];
  private pendingBytes = 0;
  private batch: Uint8Array = EMPTY;
  private dropped = 0;
  private idle: (() => void)[] = [];

  constructor(
    private readonly writeBytes: WriteBytes,
    /** The line that tells how many lines were dropped. */
    private readonly describeDropped: (count: number) => string,
    private readonly maximumPendingBytes = MAXIMUM_PENDING_BYTES,
  ) {}

  /** Takes a line without its end, or drops it. Never waits. */
  write(line: string): void {
    if (this.pendingBytes + line.length > this.maximumPendingBytes) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      this.add(this.describeDropped(this.dropped));
      this.dropped = 0;
    }
    this.add(line);
    if (this.batch.length === 0) this.nextBatch();
  }

  /** Resolves once every line that was taken has left, or after `milliseconds`. */
  async drain(milliseconds: number): Promise<void> {
    if (this.batch.length === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.idle.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private add(line: string): void {
    this.pending.push(`${line}\n`);
    this.pendingBytes += line.length + 1;
  }

  private nextBatch(): void {
    if (this.pending.length === 0) {
      const waiting = this.idle;
      this.idle = [];
      for (const resolve of waiting) resolve();
      return;
    }
    this.batch = Buffer.from(this.pending.join(''));
    this.pending = [];
    this.pendingBytes = 0;
    this.writeBatch();
  }

  private writeBatch(): void {
    this.writeBytes(this.batch, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeBatch(), RETRY_INTERVAL_MS);
        return;
      }
      // Nobody reads any more: the lines are of no use to anyone.
      this.batch = error === null ? this.batch.subarray(written) : EMPTY;
      if (this.batch.length > 0) this.writeBatch();
      else this.nextBatch();
    });
  }
}
