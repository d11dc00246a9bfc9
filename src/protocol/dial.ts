/** Opens an internal connection, handshake included. */
import type { Address } from '../seams/address.js';
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { Network } from '../seams/network.js';
import type { ConnectionRole } from './connection-role.js';
import { HandshakeError } from './handshake-error.js';
import type { ChallengeMessage } from './handshake-messages.js';
import { initiateHandshake, type LocalIdentity } from './handshake.js';

/** The seams that dialling needs. */
export interface DialEnvironment {
  readonly clock: Clock;
  readonly network: Network;
}

/** Whom to reach and as what. */
export interface DialTarget {
  readonly address: Address;
  readonly role: ConnectionRole;
  /** Member id that must answer there; any when absent. */
  readonly memberId?: string;
  /** Longest time to open the connection, without the handshake. Milliseconds. */
  readonly connectTimeout: number;
  /** Ends the handshake when it aborts, so that a stop doesn't wait for a peer that doesn't answer. */
  readonly signal?: AbortSignal;
}

/** An open connection and who answered. */
export interface DialledPeer {
  readonly connection: MessageConnection;
  /** Lower of both sides' protocol versions. */
  readonly protocolVersion: ChallengeMessage['protocolVersion'];
}

/**
 * Resolves with a connection whose peer has proven the cluster key.
 *
 * @throws ConnectionError when the peer cannot be reached.
 * @throws HandshakeError when it is not the wanted one or turns this process away.
 */
export async function dial(
  environment: DialEnvironment,
  identity: LocalIdentity,
  target: DialTarget,
): Promise<MessageConnection> {
  const { connection } = await dialPeer(environment, identity, target);
  return connection;
}

/** As {@link dial}, for messages that depend on the peer's version. */
export async function dialPeer(
  environment: DialEnvironment,
  identity: LocalIdentity,
  target: DialTarget,
): Promise<DialledPeer> {
  const { address, role, memberId, connectTimeout, signal } = target;
  const connection = await environment.network.connectMessages(address, connectTimeout);
  const close = (): void => connection.close();
  if (signal?.aborted === true) close();
  signal?.addEventListener('abort', close, { once: true });
  const handshake = initiateHandshake(environment.clock, connection, identity, role);
  const peer = await handshake.finally(() => signal?.removeEventListener('abort', close));
  if (memberId !== undefined && peer.name !== memberId) {
    connection.close();
    throw new HandshakeError('wrong_member', connection.peer, `${peer.name} answers there`);
  }
  return { connection, protocolVersion: peer.protocolVersion };
}
