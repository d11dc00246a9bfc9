/**
 * Duplicates and reorders the frames that are sent over a connection, the first
 * one excepted: more than TCP would do on one connection, as several connections
 * to one member may do between them. A proposal is reordered only: it is sent
 * once on one connection, and the change id above it tells a resend.
 */
import { EXCHANGES } from '../../../src/consensus/messages.js';
import type { Clock } from '../../../src/seams/clock.js';
import type { MessageConnection } from '../../../src/seams/message-connection.js';
import type { RandomSource } from '../../../src/seams/random-source.js';

const DUPLICATED = 0.2;
const DELAYED = 0.3;
/** Milliseconds. */
const LONGEST_DELAY = 120;

export class ShufflingConnection implements MessageConnection {
  private greeted = false;

  constructor(
    private readonly inner: MessageConnection,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  get peer(): string {
    return this.inner.peer;
  }

  get maximumFrameBytes(): number {
    return this.inner.maximumFrameBytes;
  }

  set maximumFrameBytes(bytes: number) {
    this.inner.maximumFrameBytes = bytes;
  }

  get queuedBytes(): number {
    return this.inner.queuedBytes;
  }

  get closed(): Promise<void> {
    return this.inner.closed;
  }

  async send(frame: Uint8Array): Promise<void> {
    if (!this.greeted) {
      this.greeted = true;
      return this.inner.send(frame);
    }
    const isProposal = frame[0] === EXCHANGES.propose.number;
    if (!isProposal && this.random.nextFloat() < DUPLICATED) this.sendLater(frame);
    if (this.random.nextFloat() < DELAYED) this.sendLater(frame);
    else await this.inner.send(frame);
  }

  receive(): Promise<Uint8Array | undefined> {
    return this.inner.receive();
  }

  close(): void {
    this.inner.close();
  }

  private sendLater(frame: Uint8Array): void {
    const copy = Buffer.from(frame);
    this.clock.setTimer(this.random.nextFloat() * LONGEST_DELAY, () => {
      this.inner.send(copy).catch(() => undefined);
    });
  }
}
