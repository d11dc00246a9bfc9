/** Accepts framed connections on a simulated machine. */
import type { Address } from '../../src/seams/address.js';
import type { MessageConnection, MessageListener } from '../../src/seams/message-connection.js';
import type { NetworkNode, PortListener } from './network-fabric.js';
import { never, type ProcessLife } from './process-life.js';
import { SimulatedMessageConnection } from './simulated-message-connection.js';
import type { SimulatedSocket } from './simulated-socket.js';

/** See `Network.listenMessages`. */
export class SimulatedMessageListener implements MessageListener, PortListener {
  private readonly connections = new Set<SimulatedMessageConnection>();

  constructor(
    private readonly node: NetworkNode,
    readonly life: ProcessLife,
    readonly address: Address,
    private readonly onConnection: (connection: MessageConnection) => Promise<void>,
  ) {}

  accept(socket: SimulatedSocket): void {
    const connection = new SimulatedMessageConnection(socket);
    this.connections.add(connection);
    void connection.closed.then(() => this.connections.delete(connection));
    this.onConnection(connection).then(
      () => connection.close(),
      () => connection.close(),
    );
  }

  async close(): Promise<void> {
    if (!this.life.alive) return never();
    if (this.node.listeners.get(this.address.port) === this) {
      this.node.listeners.delete(this.address.port);
    }
    for (const connection of [...this.connections]) connection.close();
  }
}
