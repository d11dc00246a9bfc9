import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { divideMemory } from '../../src/node/memory-budgets.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import {
  MAXIMUM_FRAME_BYTES,
  type MessageConnection,
  type MessageListener,
} from '../../src/seams/message-connection.js';
import { nextTurn } from './support/listener-fixture.js';

const MEMORY_BYTES = 128 * 1024 * 1024;
const FAULTY_PEERS = 12;
const LOOPBACK = { host: '127.0.0.1', port: 0 };
/** What the process may hold beyond the bound while a connection closes. Bytes. */
const CHUNK_BYTES = 64 * 1024;

let network: NodeNetwork;
let listener: MessageListener;
let accepted: MessageConnection[];
let peers: Socket[];
let mostHeld: number;

beforeEach(async () => {
  network = new NodeNetwork(divideMemory(MEMORY_BYTES));
  accepted = [];
  peers = [];
  mostHeld = 0;
  listener = await network.listenMessages(LOOPBACK, async (connection) => {
    accepted.push(connection);
    await connection.closed;
  });
});

afterEach(async () => {
  for (const peer of peers) peer.destroy();
  await listener.close();
});

async function connectPeer(): Promise<Socket> {
  const { host, port } = listener.address;
  const count = accepted.length;
  const peer = connect({ host, port }).on('error', () => undefined);
  peers.push(peer);
  await once(peer, 'connect');
  while (accepted.length === count) await nextTurn();
  return peer;
}

/** A header that announces `length` bytes, and the first `sent` of them. */
function frame(length: number, sent = length): Buffer {
  const bytes = Buffer.alloc(4 + sent);
  bytes.writeUInt32BE(length);
  return bytes;
}

function noteHeld(): void {
  mostHeld = Math.max(mostHeld, network.budgets.messages.heldBytes);
}

/** Waits until `isReached`, noting how much is held meanwhile. */
async function until(isReached: () => boolean): Promise<void> {
  while (!isReached()) {
    noteHeld();
    await nextTurn();
  }
}

const closedPeers = (): number => peers.filter(({ destroyed }) => destroyed).length;

/** Sends a frame there and back. */
async function exchange(peer: Socket, connection: MessageConnection): Promise<void> {
  peer.write(frame(3));
  expect((await connection.receive())?.length).toBe(3);
  const answer = once(peer, 'data');
  await connection.send(Buffer.from('yes'));
  expect(((await answer) as [Buffer])[0].toString()).toContain('yes');
}

// Guards against a bound for each connection and none for all: peers that each keep to it fill the machine.
describe('the message connections of a process together', () => {
  it('hold no more than their bound of frames that nobody takes', async () => {
    const good = await connectPeer();
    for (let index = 0; index < FAULTY_PEERS; index += 1) {
      const peer = await connectPeer();
      for (let count = 0; count < 2; count += 1) peer.write(frame(MAXIMUM_FRAME_BYTES));
    }
    await until(() => closedPeers() > 0);
    const { heldBytes, limit } = network.budgets.messages;
    expect(Math.max(mostHeld, heldBytes)).toBeLessThanOrEqual(limit + CHUNK_BYTES);
    expect(good.destroyed).toBe(false);
    await exchange(good, accepted[0] as MessageConnection);
  });

  it('hold no more than their bound of frames that are never whole', async () => {
    const good = await connectPeer();
    for (let index = 0; index < FAULTY_PEERS; index += 1) {
      const peer = await connectPeer();
      peer.write(frame(MAXIMUM_FRAME_BYTES, MAXIMUM_FRAME_BYTES - 1));
    }
    await until(() => closedPeers() > 0);
    expect(mostHeld).toBeLessThanOrEqual(network.budgets.messages.limit + CHUNK_BYTES);
    await exchange(good, accepted[0] as MessageConnection);
  });

  it('hold no more than their bound for peers that do not read', async () => {
    const good = await connectPeer();
    for (let index = 0; index < FAULTY_PEERS; index += 1) (await connectPeer()).pause();
    const faulty = accepted.slice(1);
    const failures = new Set<MessageConnection>();
    while (failures.size === 0) {
      for (const connection of faulty) {
        connection
          .send(Buffer.alloc(MAXIMUM_FRAME_BYTES / 4))
          .catch(() => failures.add(connection));
      }
      noteHeld();
      await nextTurn();
    }
    const { limit } = network.budgets.messages;
    expect(mostHeld).toBeLessThanOrEqual(limit + MAXIMUM_FRAME_BYTES);
    await exchange(good, accepted[0] as MessageConnection);
  });

  it('take memory for what has come of a frame, not for what was announced', async () => {
    for (let index = 0; index < FAULTY_PEERS; index += 1) {
      (await connectPeer()).write(frame(MAXIMUM_FRAME_BYTES, 1));
    }
    await until(() => network.budgets.messages.heldBytes > 0);
    for (let turn = 0; turn < 50; turn += 1) await nextTurn();
    const { heldBytes, limit } = network.budgets.messages;
    expect(heldBytes).toBeGreaterThan(0);
    expect(heldBytes).toBeLessThan(limit / 8);
    expect(closedPeers()).toBe(0);
  });

  it('hold nothing once they are closed', async () => {
    for (let index = 0; index < FAULTY_PEERS; index += 1) {
      const peer = await connectPeer();
      peer.write(Buffer.concat([frame(1000), frame(CHUNK_BYTES, 7)]));
      peer.pause();
    }
    for (const connection of accepted) {
      connection.send(Buffer.alloc(MAXIMUM_FRAME_BYTES)).catch(() => undefined);
    }
    await until(() => network.budgets.messages.heldBytes > CHUNK_BYTES);
    for (const peer of peers) peer.destroy();
    await Promise.all(accepted.map(({ closed }) => closed));
    expect(network.budgets.messages.heldBytes).toBe(0);
  });

  it('take few objects for frames without bytes, and give them all in order', async () => {
    const FRAMES = 10_000;
    const peer = await connectPeer();
    const frames = Array.from({ length: FRAMES }, (_, index) => {
      const bytes = frame(index % 100 === 0 ? 2 : 0);
      if (bytes.length > 4) bytes.writeUInt16BE(index, 4);
      return bytes;
    });
    peer.write(Buffer.concat(frames));
    const [connection] = accepted as [MessageConnection];
    await until(() => network.budgets.messages.heldBytes > 0);
    for (let index = 0; index < FRAMES; index += 1) {
      const received = await connection.receive();
      noteHeld();
      expect(received?.length).toBe(index % 100 === 0 ? 2 : 0);
      if (received?.length === 2) expect(Buffer.from(received).readUInt16BE()).toBe(index);
    }
    expect(mostHeld).toBeLessThan(3 * CHUNK_BYTES);
  });
});
