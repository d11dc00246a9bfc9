/**
 * Opens an internal connection: both sides state cluster, version and role, and
 * prove the shared key before any other message passes. The side that opened
 * the connection proves first, so that a stranger who merely connects learns
 * nothing signed with the key.
 */
import type { Clock } from '../seams/clock.js';
import { MAXIMUM_FRAME_BYTES, type MessageConnection } from '../seams/message-connection.js';
import { isConnectionRole, type ConnectionRole } from './connection-role.js';
import { HANDSHAKE_FAILURES, HandshakeError, type HandshakeFailure } from './handshake-error.js';
import {
  HANDSHAKE_CODEC,
  type ChallengeMessage,
  type HandshakeMessage,
  type HelloMessage,
} from './handshake-messages.js';
import { createNonce, createProof, NONCE_BYTES, proofsEqual } from './handshake-proof.js';
import { isProtocolViolation } from './protocol-violation.js';
import { OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION } from './protocol-version.js';

/** Longest frame taken from a peer that has not proven the key. Bytes. */
export const MAXIMUM_HANDSHAKE_FRAME_BYTES = 1_024;

/** A handshake not done within this time closes the connection. Milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;

/** The cluster a process belongs to, and who it is. */
export interface LocalIdentity {
  readonly clusterId: string;
  readonly clusterKey: string;
  /** Member id of a controller, or name of a daemon. */
  readonly name: string;
}

/** Who is at the other end, proven. */
export interface RemoteIdentity {
  readonly role: ConnectionRole;
  readonly name: string;
  readonly protocolVersion: number;
}

type KindOf<K extends HandshakeMessage['kind']> = Extract<HandshakeMessage, { kind: K }>;

interface ReceivedMessage<M> {
  readonly message: M;
  readonly frame: Uint8Array;
}

async function receiveFrame(connection: MessageConnection): Promise<Uint8Array> {
  const frame = await connection.receive();
  if (frame === undefined) {
    throw new HandshakeError('closed', connection.peer, 'the peer closed the connection');
  }
  if (frame.length > MAXIMUM_HANDSHAKE_FRAME_BYTES) {
    throw new HandshakeError('malformed', connection.peer, `a frame of ${frame.length} bytes`);
  }
  return frame;
}

async function expectMessage<K extends HandshakeMessage['kind']>(
  connection: MessageConnection,
  kind: K,
): Promise<ReceivedMessage<KindOf<K>>> {
  const frame = await receiveFrame(connection);
  const message = HANDSHAKE_CODEC.decode(frame, connection.peer);
  if (message.kind === 'rejected') {
    const reason = HANDSHAKE_FAILURES.find((known) => known === message.reason) ?? 'malformed';
    throw new HandshakeError(reason, connection.peer, `turned away: ${message.reason}`);
  }
  if (message.kind !== kind) {
    throw new HandshakeError('malformed', connection.peer, `${message.kind} instead of ${kind}`);
  }
  return { message: message as KindOf<K>, frame };
}

/** Closes the connection when `exchange` takes too long, and gives every failure one type. */
async function withinTime<T>(
  clock: Clock,
  connection: MessageConnection,
  exchange: () => Promise<T>,
): Promise<T> {
  let expired = false;
  const timer = clock.setTimer(HANDSHAKE_TIMEOUT_MS, () => {
    expired = true;
    connection.close();
  });
  try {
    return await exchange();
  } catch (error) {
    connection.close();
    if (expired) throw new HandshakeError('timeout', connection.peer, 'took too long', error);
    if (error instanceof HandshakeError) throw error;
    const reason = isProtocolViolation(error) ? 'malformed' : 'closed';
    throw new HandshakeError(reason, connection.peer, (error as Error).message, error);
  } finally {
    timer.cancel();
  }
}

/**
 * The opening side. Resolves with who accepted.
 *
 * @throws HandshakeError, with the connection closed.
 */
export async function initiateHandshake(
  clock: Clock,
  connection: MessageConnection,
  local: LocalIdentity,
  role: ConnectionRole,
): Promise<ChallengeMessage> {
  return withinTime(clock, connection, async () => {
    const hello = HANDSHAKE_CODEC.encode({
      kind: 'hello',
      clusterId: local.clusterId,
      protocolVersion: PROTOCOL_VERSION,
      role,
      name: local.name,
      nonce: createNonce(),
    });
    await connection.send(hello);
    const challenge = await expectMessage(connection, 'challenge');
    if (challenge.message.protocolVersion < OLDEST_PROTOCOL_VERSION) {
      throw new HandshakeError('wrong_version', connection.peer, 'the peer is too old');
    }
    const proof = createProof(local.clusterKey, 'initiator', hello, challenge.frame);
    await connection.send(HANDSHAKE_CODEC.encode({ kind: 'proof', proof }));
    const accepted = await expectMessage(connection, 'accepted');
    const expected = createProof(local.clusterKey, 'acceptor', hello, challenge.frame);
    if (!proofsEqual(expected, accepted.message.proof)) {
      throw new HandshakeError('wrong_key', connection.peer, 'the peer does not hold the key');
    }
    return challenge.message;
  });
}

function checkHello(hello: HelloMessage, local: LocalIdentity): HandshakeFailure | undefined {
  if (hello.clusterId !== local.clusterId) return 'wrong_cluster';
  if (hello.protocolVersion < OLDEST_PROTOCOL_VERSION) return 'wrong_version';
  if (!isConnectionRole(hello.role)) return 'wrong_role';
  if (hello.nonce.length !== NONCE_BYTES) return 'malformed';
  return undefined;
}

async function reject(connection: MessageConnection, reason: HandshakeFailure): Promise<never> {
  await connection.send(HANDSHAKE_CODEC.encode({ kind: 'rejected', reason }));
  throw new HandshakeError(reason, connection.peer, 'turned the peer away');
}

/**
 * The accepting side. Resolves with who opened the connection.
 *
 * @throws HandshakeError, with the connection closed.
 */
export async function acceptHandshake(
  clock: Clock,
  connection: MessageConnection,
  local: LocalIdentity,
): Promise<RemoteIdentity> {
  // A longer frame would be held in memory until it is whole.
  connection.maximumFrameBytes = MAXIMUM_HANDSHAKE_FRAME_BYTES;
  return withinTime(clock, connection, async () => {
    const { message: hello, frame } = await expectMessage(connection, 'hello');
    const mismatch = checkHello(hello, local);
    if (mismatch !== undefined) return reject(connection, mismatch);
    const protocolVersion = Math.min(hello.protocolVersion, PROTOCOL_VERSION);
    const challenge = HANDSHAKE_CODEC.encode({
      kind: 'challenge',
      protocolVersion,
      name: local.name,
      nonce: createNonce(),
    });
    await connection.send(challenge);
    const { message } = await expectMessage(connection, 'proof');
    const expected = createProof(local.clusterKey, 'initiator', frame, challenge);
    if (!proofsEqual(expected, message.proof)) return reject(connection, 'wrong_key');
    connection.maximumFrameBytes = MAXIMUM_FRAME_BYTES;
    const proof = createProof(local.clusterKey, 'acceptor', frame, challenge);
    await connection.send(HANDSHAKE_CODEC.encode({ kind: 'accepted', proof }));
    return { role: hello.role as ConnectionRole, name: hello.name, protocolVersion };
  });
}
