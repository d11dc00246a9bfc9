/**
 * Hands the bytes of a caller's connection to Node's parser one request at a time. The parser makes objects
 * of every request that it is handed, a hundred times their bytes; requests that a caller sends
 * ahead stay bytes until the one before them is answered.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { ParsingTurns } from './parsing-turns.js';

const END_OF_HEAD = '\r\n\r\n';
/**
 * Bytes that are handed over at a time where a request may end among them unseen: in a head, and in a body without
 * a length. Requests that begin in the same step are parsed, and wait.
 */
const MAXIMUM_STEP_BYTES = 1_024;
/** Bytes sent ahead after which the connection is not read on. Until then its end is noticed at once. */
const MAXIMUM_HELD_BYTES = 65_536;
const EMPTY = Buffer.alloc(0);

/** Whether the view keeps more than twice its bytes in memory. */
function isSparse({ length, buffer }: Buffer): boolean {
  return length > 0 && buffer.byteLength > 2 * length;
}

type Emit = (event: string, ...values: unknown[]) => boolean;

/** What the feeder asks of its connection. */
export interface FedConnection {
  /** Whether a request of it is not answered yet. */
  readonly hasUnanswered: boolean;
}

/** Feeds one connection; create it after Node's server has added its listeners to the socket. */
export class RequestFeeder {
  private held: Buffer = EMPTY;
  private newest: IncomingMessage | undefined;
  /** Bytes of the newest request's body that were not received yet. */
  private bodyBytesLeft = 0;
  private resuming: NodeJS.Immediate | undefined;
  private isStopped = false;
  private isWaitingForTurn = false;
  /** The caller ended its side while bytes of it waited for a turn; this is passed on after them. */
  private hasEnded = false;
  private readonly emit: Emit;
  private readonly onTurn = (): void => {
    this.isWaitingForTurn = false;
    this.feedHeld();
    if (this.hasEnded && !this.isWaitingForTurn) setImmediate(() => this.passEndOn());
  };

  constructor(
    private readonly socket: Socket,
    private readonly connection: FedConnection,
    private readonly turns: ParsingTurns,
    /** Called with the bytes that are held, whenever they change. */
    private readonly onHeld: (bytes: number) => void,
  ) {
    this.emit = socket.emit.bind(socket) as Emit;
    socket.emit = (event: string, ...values: unknown[]): boolean => {
      if (event === 'data') return this.onData(values[0] as Buffer);
      if (event === 'end' && this.isWaitingForTurn) {
        this.hasEnded = true;
        return true;
      }
      // Node's request resumes the connection when it is read from.
      if (event === 'resume' && this.isWaitingForTurn) socket.pause();
      // A caller that ends its side has gone: nobody waits for what it sent ahead.
      if (event === 'end' || event === 'close') this.drop();
      return this.emit(event, ...values);
    };
  }

  /** Whether bytes are held that were received after a request which is not answered yet. */
  get isHolding(): boolean {
    return this.held.length > 0;
  }

  /** Call when the head of a request is received. */
  begin(message: IncomingMessage): void {
    this.newest = message;
    this.bodyBytesLeft = Number(message.headers['content-length'] ?? Infinity);
  }

  /** Call when a request is answered. */
  resume(): void {
    if (!this.isHolding || this.resuming !== undefined) return;
    // Not at once: each connection gets its turn, however much was sent ahead over this one.
    this.resuming = setImmediate(() => {
      this.resuming = undefined;
      this.feedHeld();
    });
  }

  /** Drops what is held and what is still received. */
  stop(): void {
    this.isStopped = true;
    this.drop();
  }

  /** Whether the body of the newest request is not received whole. */
  get isReceivingBody(): boolean {
    return this.newest !== undefined && !this.newest.complete;
  }

  private passEndOn(): void {
    if (!this.socket.destroyed) this.socket.emit('end');
  }

  private get isReceivingChunks(): boolean {
    return this.isReceivingBody && !Number.isFinite(this.bodyBytesLeft);
  }

  private onData(part: Buffer): boolean {
    if (this.isStopped) return true;
    if (this.isHolding) this.hold(Buffer.concat([this.held, part]));
    else this.feed(part);
    return true;
  }

  private feedHeld(): void {
    const { held } = this;
    this.hold(EMPTY);
    this.feed(held);
    if (!this.isHolding && !this.socket.destroyed) this.socket.resume();
  }

  private drop(): void {
    clearImmediate(this.resuming);
    this.turns.cancel(this.onTurn);
    this.isWaitingForTurn = false;
    if (this.isHolding) this.hold(EMPTY);
  }

  private feed(bytes: Buffer): void {
    let left = bytes;
    while (left.length > 0 && !this.socket.destroyed && !this.isStopped) {
      if (!this.isReceivingBody && this.connection.hasUnanswered) {
        this.hold(left);
        return;
      }
      if (this.isReceivingChunks && !this.turns.hasRoom) {
        this.holdForTurn(left);
        return;
      }
      const length = this.nextStep(left);
      const isBody = this.isReceivingBody;
      if (this.isReceivingChunks) this.turns.count(left.subarray(0, length));
      this.emit('data', length === left.length ? left : left.subarray(0, length));
      if (isBody) this.bodyBytesLeft -= length;
      left = left.subarray(length);
    }
  }

  /** Bytes up to the end of the head, or of a step of the body, that comes next. */
  private nextStep(bytes: Buffer): number {
    if (this.isReceivingBody) {
      const step = Number.isFinite(this.bodyBytesLeft) ? this.bodyBytesLeft : MAXIMUM_STEP_BYTES;
      return Math.min(bytes.length, Math.max(1, step));
    }
    const end = bytes.indexOf(END_OF_HEAD);
    const head = end < 0 ? bytes.length : end + END_OF_HEAD.length;
    return Math.min(head, MAXIMUM_STEP_BYTES);
  }

  /** Nothing more is read meanwhile: what the system holds of a body is not counted here. */
  private holdForTurn(bytes: Buffer): void {
    this.hold(bytes);
    this.socket.pause();
    this.isWaitingForTurn = true;
    this.turns.wait(this.onTurn);
  }

  private hold(bytes: Buffer): void {
    this.held = isSparse(bytes) ? Buffer.from(bytes) : bytes;
    if (bytes.length > MAXIMUM_HELD_BYTES) this.socket.pause();
    this.onHeld(bytes.length);
  }
}
