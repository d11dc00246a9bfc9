/** Stands for the handshake between members: the first frame names the one that dials. */
import type { MemberEndpoint } from '../../../src/consensus/member-endpoint.js';
import type { RaftNode } from '../../../src/consensus/raft-node.js';
import type { DurableEnvironment } from '../../../src/seams/environment.js';
import type { MessageConnection } from '../../../src/seams/message-connection.js';

const CONNECT_TIMEOUT = 500;

export async function dialMember(
  { network }: DurableEnvironment,
  from: string,
  peer: MemberEndpoint,
): Promise<MessageConnection> {
  const connection = await network.connectMessages(peer.address, CONNECT_TIMEOUT);
  await connection.send(Buffer.from(from));
  return connection;
}

export async function acceptMember(node: RaftNode, connection: MessageConnection): Promise<void> {
  const frame = await connection.receive();
  if (frame === undefined) return;
  await node.acceptConnection(connection, Buffer.from(frame).toString('utf8'));
}
