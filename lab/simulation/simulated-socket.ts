/** One end of a simulated TCP connection. Carries whole messages as payloads. */
import type { LinkEnd } from './link-table.js';
import type { ProcessLife } from './process-life.js';
import {
  SegmentPipe,
  type PipeContext,
  type Segment,
  type SegmentReceiver,
} from './segment-pipe.js';

/** What the owner of a socket hears of it. */
export interface SocketHandlers {
  onData(payload: unknown, bytes: number): void;
  /** The peer closed its end in order. */
  onEnd(): void;
  /** The peer, or the network, broke the connection. */
  onReset(): void;
  /** The peer's process took `bytes` out of its receive buffer. */
  onAcknowledgement?(bytes: number): void;
}

/** A machine as sockets see it. */
export interface SocketHost extends LinkEnd {
  readonly host: string;
}

/** See the module comment. */
export class SimulatedSocket implements SegmentReceiver {
  /** False once either end closed the connection or it broke. */
  open = true;
  private handlers: SocketHandlers | undefined;
  private outgoing!: SegmentPipe;
  private peer!: SimulatedSocket;

  private constructor(
    private readonly context: PipeContext,
    readonly machine: SocketHost,
    readonly life: ProcessLife,
    readonly port: number,
    /** Run when the peer's first segment arrives, on the accepting end. */
    private readonly onOpen: (() => void) | undefined,
  ) {
    life.sockets.add(this);
  }

  /** Makes both ends of a connection: the connecting end, then the accepting one. */
  static pair(
    context: PipeContext,
    client: { machine: SocketHost; life: ProcessLife; port: number },
    server: { machine: SocketHost; life: ProcessLife; port: number },
    accept: (socket: SimulatedSocket) => void,
  ): SimulatedSocket {
    const left = new SimulatedSocket(context, client.machine, client.life, client.port, undefined);
    const right: SimulatedSocket = new SimulatedSocket(
      context,
      server.machine,
      server.life,
      server.port,
      () => accept(right),
    );
    left.peer = right;
    right.peer = left;
    left.outgoing = new SegmentPipe(context, client.machine, server.machine, right);
    right.outgoing = new SegmentPipe(context, server.machine, client.machine, left);
    return left;
  }

  get remoteHost(): string {
    return this.peer.machine.host;
  }

  get remotePort(): number {
    return this.peer.port;
  }

  get frozenUntil(): number {
    return this.life.frozenUntil;
  }

  /** Must be called before anything can arrive. */
  handle(handlers: SocketHandlers): void {
    this.handlers = handlers;
  }

  /** Tells the accepting end that the connection is open. */
  sendOpen(): void {
    this.outgoing.send({ kind: 'open' });
  }

  /** Sends a payload that counts as `bytes`. Does nothing once closed. */
  send(payload: unknown, bytes: number): void {
    if (!this.open || !this.life.alive) return;
    const { reset } = this.context.links.properties(this.machine, this.peer.machine);
    if (this.context.links.draw(reset)) {
      this.breakConnection();
      return;
    }
    this.outgoing.send({ kind: 'data', payload, bytes });
  }

  /** Tells the sender that `bytes` were taken out of the receive buffer. */
  acknowledge(bytes: number): void {
    if (!this.open || !this.life.alive) return;
    const held =
      this.outgoing.stalled ||
      this.peer.frozenUntil > this.context.events.now ||
      this.context.links.isCut(this.machine, this.peer.machine);
    if (held) this.outgoing.send({ kind: 'acknowledgement', bytes });
    else this.peer.receive({ kind: 'acknowledgement', bytes });
  }

  /** Closes in order: what was sent before still arrives. */
  end(): void {
    if (!this.open || !this.life.alive) return;
    this.detach();
    this.outgoing.send({ kind: 'end' });
  }

  /** Closes at once; the peer sees a reset if the link lets it through. */
  reset(): void {
    if (!this.open) return;
    this.detach();
    this.outgoing.send({ kind: 'reset' });
  }

  /** Forgets the connection without a word, as a machine that lost its power does. */
  vanish(): void {
    this.detach();
    this.outgoing.abandon();
  }

  receive(segment: Segment): void {
    if (!this.open || !this.life.alive) {
      const expectsReset = segment.kind === 'data' || segment.kind === 'open';
      if (expectsReset) this.outgoing.send({ kind: 'reset' });
      return;
    }
    switch (segment.kind) {
      case 'open':
        this.onOpen?.();
        return;
      case 'data':
        this.handlers?.onData(segment.payload, segment.bytes);
        return;
      case 'acknowledgement':
        this.handlers?.onAcknowledgement?.(segment.bytes);
        return;
      case 'end':
        this.detach();
        this.outgoing.abandon();
        this.handlers?.onEnd();
        return;
      case 'reset':
        this.detach();
        this.outgoing.abandon();
        this.handlers?.onReset();
        return;
    }
  }

  private breakConnection(): void {
    this.outgoing.send({ kind: 'reset' });
    this.peer.outgoing.send({ kind: 'reset' });
  }

  private detach(): void {
    this.open = false;
    this.life.sockets.delete(this);
  }
}
