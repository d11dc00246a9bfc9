/** The wires between all machines: addresses, listeners, connection set-up. */
import type { Address } from '../../src/seams/address.js';
import { EventKind, type EventQueue } from './event-queue.js';
import type { LinkTable } from './link-table.js';
import type { ProcessLife } from './process-life.js';
import type { PipeContext, SegmentPipe } from './segment-pipe.js';
import { SimulatedSocket, type SocketHost } from './simulated-socket.js';

/** A port that accepts connections. */
export interface PortListener {
  readonly life: ProcessLife;
  accept(socket: SimulatedSocket): void;
}

/** A machine as the network sees it. */
export interface NetworkNode extends SocketHost {
  readonly listeners: Map<number, PortListener>;
  /** A port no one listens on. */
  allocatePort(): number;
}

/** Why no connection came about. */
export type ConnectFailure = 'refused' | 'timed_out';

/** Waits before each connection attempt after the first, as TCP's. Milliseconds. */
const CONNECT_RETRY_WAITS: readonly number[] = [1_000, 2_000, 4_000, 8_000, 16_000, 32_000];
/** What opening a connection takes beside the round trip. Milliseconds. */
export const DEFAULT_CONNECT_COST = 1;

const LOCAL_HOSTS: ReadonlySet<string> = new Set(['127.0.0.1', 'localhost', '0.0.0.0', '::1']);

/** Whether a process on `node` may listen on `host`. */
export function isOwnHost(node: NetworkNode, host: string): boolean {
  return host === node.host || LOCAL_HOSTS.has(host);
}

/** See the module comment. */
export class NetworkFabric implements PipeContext {
  readonly stalledPipes = new Set<SegmentPipe>();
  connectCost = DEFAULT_CONNECT_COST;
  private readonly nodes = new Map<string, NetworkNode>();

  constructor(
    readonly events: EventQueue,
    readonly links: LinkTable,
  ) {}

  addNode(node: NetworkNode): void {
    this.nodes.set(node.host, node);
  }

  /** Called after a cut ended or a machine came back. */
  resumeStalledPipes(): void {
    for (const pipe of [...this.stalledPipes]) {
      if (!this.links.isCut(pipe.from, pipe.to)) pipe.resume();
    }
  }

  /** Opens a connection; calls `done` once, unless the process ends before. */
  connect(
    from: NetworkNode,
    life: ProcessLife,
    peer: Address,
    timeout: number,
    done: (result: SimulatedSocket | ConnectFailure) => void,
  ): void {
    let finished = false;
    const finish = (result: SimulatedSocket | ConnectFailure): void => {
      if (finished) {
        if (result instanceof SimulatedSocket) result.reset();
        return;
      }
      finished = true;
      timer.cancelled = true;
      done(result);
    };
    const timer = this.events.schedule(timeout, EventKind.Timer, life, 0, () =>
      finish('timed_out'),
    );
    const attempt = (waits: readonly number[]): void => {
      if (finished) return;
      if (this.sendSynchronise(from, life, peer, finish)) return;
      const [wait, ...later] = waits;
      if (wait === undefined) return;
      this.events.schedule(wait, EventKind.ConnectionAttempt, life, peer.port, () =>
        attempt(later),
      );
    };
    attempt(CONNECT_RETRY_WAITS);
  }

  /** One attempt; false when it is lost on the way. */
  private sendSynchronise(
    from: NetworkNode,
    life: ProcessLife,
    peer: Address,
    finish: (result: SimulatedSocket | ConnectFailure) => void,
  ): boolean {
    const to = LOCAL_HOSTS.has(peer.host) ? from : this.nodes.get(peer.host);
    if (to === undefined || this.links.isCut(from, to) || this.links.isCut(to, from)) return false;
    const forth = this.links.delay(from, to, 0);
    this.events.schedule(forth, EventKind.ConnectionAttempt, undefined, to.index, () => {
      const listener = to.listeners.get(peer.port);
      const refused = listener === undefined || !listener.life.alive;
      const back = this.links.delay(to, from, 0) + (refused ? 0 : this.connectCost);
      this.events.schedule(back, EventKind.ConnectionAttempt, life, from.index, () => {
        if (this.links.isCut(to, from)) return;
        if (refused) finish('refused');
        else finish(this.establish(from, life, to, peer.port, listener));
      });
    });
    return true;
  }

  private establish(
    from: NetworkNode,
    life: ProcessLife,
    to: NetworkNode,
    port: number,
    listener: PortListener,
  ): SimulatedSocket {
    const socket = SimulatedSocket.pair(
      this,
      { machine: from, life, port: from.allocatePort() },
      { machine: to, life: listener.life, port },
      (accepted) => {
        if (to.listeners.get(port) === listener) listener.accept(accepted);
        else accepted.reset();
      },
    );
    socket.sendOpen();
    return socket;
  }
}
