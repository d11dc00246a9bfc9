/** The network seam of one process on a simulated machine. */
import { AddressUnavailableError } from '../../src/errors/address-unavailable-error.js';
import { ConnectionError } from '../../src/errors/connection-error.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpHandler,
  HttpListenOptions,
  HttpListener,
} from '../../src/seams/http.js';
import type { MessageConnection, MessageListener } from '../../src/seams/message-connection.js';
import type { Network } from '../../src/seams/network.js';
import { isOwnHost, type NetworkFabric, type NetworkNode } from './network-fabric.js';
import { never, type ProcessLife } from './process-life.js';
import { SimulatedHttpClient } from './simulated-http-client.js';
import { SimulatedHttpListener } from './simulated-http-listener.js';
import { SimulatedMessageConnection } from './simulated-message-connection.js';
import { SimulatedMessageListener } from './simulated-message-listener.js';
import { SimulatedSocket } from './simulated-socket.js';

/** {@link Network} over a {@link NetworkFabric}. */
export class SimulatedNetwork implements Network {
  constructor(
    private readonly fabric: NetworkFabric,
    private readonly node: NetworkNode,
    private readonly life: ProcessLife,
  ) {}

  async listenHttp(
    address: Address,
    options: HttpListenOptions,
    handler: HttpHandler,
  ): Promise<HttpListener> {
    if (!this.life.alive) return never();
    const bound = this.bind(address);
    const { events } = this.fabric;
    const listener = new SimulatedHttpListener(
      events,
      this.node,
      this.life,
      bound,
      options,
      handler,
    );
    this.node.listeners.set(bound.port, listener);
    return listener;
  }

  httpClient(peer: Address, options: HttpClientOptions): HttpClient {
    const { fabric, node, life } = this;
    return new SimulatedHttpClient({ fabric, node, life, address: peer, options });
  }

  async listenMessages(
    address: Address,
    onConnection: (connection: MessageConnection) => Promise<void>,
  ): Promise<MessageListener> {
    if (!this.life.alive) return never();
    const bound = this.bind(address);
    const listener = new SimulatedMessageListener(this.node, this.life, bound, onConnection);
    this.node.listeners.set(bound.port, listener);
    return listener;
  }

  connectMessages(peer: Address, timeout: number): Promise<MessageConnection> {
    if (!this.life.alive) return never();
    return new Promise((resolve, reject) => {
      this.fabric.connect(this.node, this.life, peer, timeout, (result) => {
        if (result instanceof SimulatedSocket) {
          resolve(new SimulatedMessageConnection(result));
          return;
        }
        const reason =
          result === 'refused' ? 'connection refused' : `no connection within ${timeout} ms`;
        reject(new ConnectionError('connect', formatAddress(peer), reason));
      });
    });
  }

  /** The address really bound; port 0 gets a free one. */
  private bind(address: Address): Address {
    if (!isOwnHost(this.node, address.host)) {
      throw new AddressUnavailableError(formatAddress(address), 'address not available');
    }
    const port = address.port === 0 ? this.node.allocatePort() : address.port;
    const known = this.node.listeners.get(port);
    if (known?.life.alive === true) {
      throw new AddressUnavailableError(formatAddress(address), 'address already in use');
    }
    return { host: address.host, port };
  }
}
