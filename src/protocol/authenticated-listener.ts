/** Accepts internal connections whose peers prove the cluster key. */
import type { Registry } from 'prom-client';
import type { Address } from '../seams/address.js';
import type { Clock } from '../seams/clock.js';
import type { MessageListener } from '../seams/message-connection.js';
import type { Network } from '../seams/network.js';
import { ConnectionAcceptor, type ConnectionRoutes } from './connection-acceptor.js';
import type { LocalIdentity } from './handshake.js';

/** A running listener. */
export class AuthenticatedListener {
  private listener: MessageListener | undefined;
  private acceptor: ConnectionAcceptor | undefined;

  private constructor() {}

  /**
   * Takes the address; connections are closed at once until {@link AuthenticatedListener.serve}.
   *
   * @throws ConnectionError when the address cannot be listened on.
   */
  static async bind(network: Network, address: Address): Promise<AuthenticatedListener> {
    const bound = new AuthenticatedListener();
    bound.listener = await network.listenMessages(
      address,
      async (connection) => await bound.acceptor?.accept(connection),
    );
    return bound;
  }

  /** @throws ConnectionError when the address cannot be listened on. */
  static async listen(
    { clock, network }: { readonly clock: Clock; readonly network: Network },
    address: Address,
    identity: LocalIdentity,
    routes: ConnectionRoutes,
    registry: Registry,
  ): Promise<AuthenticatedListener> {
    const listener = await AuthenticatedListener.bind(network, address);
    listener.serve(new ConnectionAcceptor(clock, identity, routes, registry));
    return listener;
  }

  /** Serves the connections that come from now on. */
  serve(acceptor: ConnectionAcceptor): void {
    this.acceptor = acceptor;
  }

  get address(): Address {
    if (this.listener === undefined) throw new Error('not listening yet');
    return this.listener.address;
  }

  /** Stops accepting and closes every connection. */
  async close(): Promise<void> {
    await this.listener?.close();
  }
}
