/** Accepts internal connections, and hands each to the part that its proven role is for. */
import { Counter, type Registry } from 'prom-client';
import type { Address } from '../seams/address.js';
import type { Clock } from '../seams/clock.js';
import type { MessageConnection, MessageListener } from '../seams/message-connection.js';
import type { Network } from '../seams/network.js';
import type { ConnectionRole } from './connection-role.js';
import { HandshakeError } from './handshake-error.js';
import { acceptHandshake, type LocalIdentity, type RemoteIdentity } from './handshake.js';

/** Connections whose handshake is under way; more are closed at once. */
export const MAXIMUM_OPEN_HANDSHAKES = 4_096;

/** Serves one connection; it is closed when the promise settles. */
export type ConnectionHandler = (
  connection: MessageConnection,
  peer: RemoteIdentity,
) => Promise<void>;

/** Who serves which role; a connection of any other role is closed. */
export type ConnectionRoutes = Readonly<Partial<Record<ConnectionRole, ConnectionHandler>>>;

/** A running listener. */
export class AuthenticatedListener {
  private listener: MessageListener | undefined;
  private openHandshakes = 0;
  private readonly refused: Counter<'reason'>;

  private constructor(
    private readonly clock: Clock,
    private readonly identity: LocalIdentity,
    private readonly routes: ConnectionRoutes,
    registry: Registry,
  ) {
    this.refused = new Counter({
      name: 'driftway_message_connections_refused_total',
      help: 'Internal connections closed because their handshake failed, by reason.',
      labelNames: ['reason'],
      registers: [registry],
    });
  }

  /** @throws ConnectionError when the address cannot be listened on. */
  static async listen(
    environment: { readonly clock: Clock; readonly network: Network },
    address: Address,
    identity: LocalIdentity,
    routes: ConnectionRoutes,
    registry: Registry,
  ): Promise<AuthenticatedListener> {
    const accepting = new AuthenticatedListener(environment.clock, identity, routes, registry);
    accepting.listener = await environment.network.listenMessages(address, (connection) =>
      accepting.accept(connection),
    );
    return accepting;
  }

  get address(): Address {
    if (this.listener === undefined) throw new Error('not listening yet');
    return this.listener.address;
  }

  /** Stops accepting and closes every connection. */
  async close(): Promise<void> {
    await this.listener?.close();
  }

  private async accept(connection: MessageConnection): Promise<void> {
    const peer = await this.identify(connection);
    if (peer !== undefined) await this.routes[peer.role]?.(connection, peer);
  }

  private async identify(connection: MessageConnection): Promise<RemoteIdentity | undefined> {
    if (this.openHandshakes >= MAXIMUM_OPEN_HANDSHAKES) {
      this.refused.inc({ reason: 'too_many' });
      return undefined;
    }
    this.openHandshakes += 1;
    try {
      return await acceptHandshake(this.clock, connection, this.identity);
    } catch (error) {
      const reason = error instanceof HandshakeError ? error.reason : 'closed';
      this.refused.inc({ reason });
      return undefined;
    } finally {
      this.openHandshakes -= 1;
    }
  }
}
