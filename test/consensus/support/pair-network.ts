/** Connections between members in memory, with delay, cuts in silence and broken connections. */
import { ConnectionError } from '../../../src/errors/connection-error.js';
import type { Clock } from '../../../src/seams/clock.js';
import type { MessageConnection } from '../../../src/seams/message-connection.js';
import type { RandomSource } from '../../../src/seams/random-source.js';

type Waiter = (frame: Uint8Array | undefined) => void;

/** One end. Frames arrive in order; after a loss nothing more arrives. */
class PairEnd implements MessageConnection {
  readonly queuedBytes = 0;
  readonly closed: Promise<void>;
  other!: PairEnd;
  isClosed = false;
  private readonly received: Uint8Array[] = [];
  private waiter: Waiter | undefined;
  private markClosed!: () => void;
  private lastArrival = 0;
  private lost = false;

  constructor(
    readonly peer: string,
    private readonly network: PairNetwork,
    readonly from: string,
    readonly to: string,
  ) {
    this.closed = new Promise((resolve) => {
      this.markClosed = resolve;
    });
  }

  async send(frame: Uint8Array): Promise<void> {
    if (this.isClosed) throw new ConnectionError('send', this.peer, 'connection closed');
    this.transmit(() => this.other.deliver(Buffer.from(frame)));
  }

  receive(): Promise<Uint8Array | undefined> {
    const frame = this.received.shift();
    if (frame !== undefined || this.isClosed) return Promise.resolve(frame);
    return new Promise((resolve) => {
      this.waiter = resolve;
    });
  }

  close(): void {
    if (this.isClosed) return;
    this.finish();
    this.transmit(() => this.other.finish());
  }

  private transmit(arrive: () => void): void {
    const { clock } = this.network;
    const arrival = Math.max(this.lastArrival, clock.now() + this.network.delay());
    this.lastArrival = arrival;
    clock.setTimer(arrival - clock.now(), () => {
      this.lost ||= this.network.isCut(this.from, this.to);
      if (!this.lost) arrive();
    });
  }

  private deliver(frame: Uint8Array): void {
    if (this.isClosed) return;
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter === undefined) this.received.push(frame);
    else waiter(frame);
  }

  finish(): void {
    this.isClosed = true;
    this.markClosed();
    this.waiter?.(undefined);
    this.waiter = undefined;
  }
}

export class PairNetwork {
  private readonly cuts = new Set<string>();
  private readonly ends = new Set<PairEnd>();
  maximumDelay = 3;

  constructor(
    readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Drops everything between two members from now on, in both directions unless told. */
  cut(left: string, right: string, bothWays = true): void {
    this.cuts.add(`${left}>${right}`);
    if (bothWays) this.cuts.add(`${right}>${left}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  delay(): number {
    return 0.5 + this.random.nextFloat() * this.maximumDelay;
  }

  /** Opens a connection; hangs while the way is cut. */
  async connect(
    from: string,
    to: string,
    accept: (connection: MessageConnection) => void,
  ): Promise<MessageConnection> {
    await this.clock.sleep(2 * this.delay());
    if (this.isCut(from, to) || this.isCut(to, from)) await new Promise(() => undefined);
    const dialling = new PairEnd(to, this, from, to);
    const accepting = new PairEnd(from, this, to, from);
    dialling.other = accepting;
    accepting.other = dialling;
    this.ends.add(dialling).add(accepting);
    accept(accepting);
    return dialling;
  }

  /** A process died: its connections end at both sides. */
  dropAllOf(memberId: string): void {
    for (const end of this.ends) {
      if (end.from !== memberId && end.to !== memberId) continue;
      end.finish();
      this.ends.delete(end);
    }
  }
}
