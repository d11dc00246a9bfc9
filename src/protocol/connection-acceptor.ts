/** Proves the peer of each accepted connection, and hands it to the part that its role is for. */
import { Counter, type Registry } from 'prom-client';
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';
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

/** Serves the connections of one listener. */
export class ConnectionAcceptor {
  private openHandshakes = 0;
  private readonly refused: Counter<'reason'>;

  constructor(
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

  /** Serves one connection until it ends. */
  async accept(connection: MessageConnection): Promise<void> {
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
