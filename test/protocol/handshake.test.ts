import { connect } from 'node:net';
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { NodeClock } from '../../src/node/node-clock.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import { AuthenticatedListener } from '../../src/protocol/authenticated-listener.js';
import { dial, type DialTarget } from '../../src/protocol/dial.js';
import type { HandshakeFailure } from '../../src/protocol/handshake-error.js';
import { HANDSHAKE_CODEC } from '../../src/protocol/handshake-messages.js';
import { NONCE_BYTES } from '../../src/protocol/handshake-proof.js';
import {
  MAXIMUM_HANDSHAKE_FRAME_BYTES,
  type LocalIdentity,
  type RemoteIdentity,
} from '../../src/protocol/handshake.js';
import { OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../../src/protocol/protocol-version.js';
import type { MessageConnection } from '../../src/seams/message-connection.js';

const ENVIRONMENT = { clock: new NodeClock(), network: new NodeNetwork() };
const CONTROLLER: LocalIdentity = {
  clusterId: 'dohoku',
  clusterKey: 'a-long-random-secret',
  name: 'controller-1',
};
const ROUTER: LocalIdentity = { ...CONTROLLER, name: 'router-1' };

let registry: Registry;
let listener: AuthenticatedListener;
let served: RemoteIdentity[];

async function refusals(reason: string): Promise<number> {
  const metric = registry.getSingleMetric('driftway_message_connections_refused_total');
  const { values } = await (metric ?? expect.fail('no such counter')).get();
  return values.find(({ labels }) => labels['reason'] === reason)?.value ?? 0;
}

function dialAs(identity: LocalIdentity, target: Partial<DialTarget> = {}) {
  return dial(ENVIRONMENT, identity, {
    address: listener.address,
    role: 'subscriber',
    connectTimeout: 1_000,
    ...target,
  });
}

/** Sends raw bytes and resolves once the listener has closed the connection. */
function sendRaw(bytes: Uint8Array): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(listener.address.port, '127.0.0.1', () => socket.write(bytes));
    socket.on('error', () => undefined);
    socket.resume();
    socket.once('close', () => resolve());
  });
}

beforeEach(async () => {
  registry = new Registry();
  served = [];
  const serve = async (_connection: unknown, peer: RemoteIdentity): Promise<void> => {
    served.push(peer);
  };
  const routes = { consensus: serve, exchange: serve, subscriber: serve };
  const address = { host: '127.0.0.1', port: 0 };
  listener = await AuthenticatedListener.listen(ENVIRONMENT, address, CONTROLLER, routes, registry);
});

afterEach(() => listener.close());

describe('handshake', () => {
  it('tells the controller who came and as what', async () => {
    const connection = await dialAs(ROUTER);
    await connection.closed;
    const peer = { role: 'subscriber', name: 'router-1', protocolVersion: PROTOCOL_VERSION };
    expect(served).toEqual([peer]);
  });

  const strangers: [HandshakeFailure, LocalIdentity][] = [
    ['wrong_cluster', { ...ROUTER, clusterId: 'pnw' }],
    ['wrong_key', { ...ROUTER, clusterKey: 'another-long-secret' }],
  ];
  it.each(strangers)('turns away and counts %s', async (reason, identity) => {
    await expect(dialAs(identity)).rejects.toMatchObject({ reason });
    expect(await refusals(reason)).toBe(1);
    expect(served).toEqual([]);
  });

  /** Opens a connection without a handshake. */
  function connectRaw(address = listener.address): Promise<MessageConnection> {
    return ENVIRONMENT.network.connectMessages(address, 1_000);
  }

  it('turns away and counts a peer of a version that is too old', async () => {
    const connection = await connectRaw();
    const hello = {
      kind: 'hello',
      clusterId: ROUTER.clusterId,
      protocolVersion: OLDEST_PROTOCOL_VERSION - 1,
      role: 'subscriber',
      name: ROUTER.name,
      nonce: new Uint8Array(NONCE_BYTES),
    } as const;
    await connection.send(HANDSHAKE_CODEC.encode(hello));
    const frame = (await connection.receive()) ?? expect.fail('no refusal');
    const refusal = HANDSHAKE_CODEC.decode(frame, connection.peer);
    expect(refusal).toEqual({ kind: 'rejected', reason: 'wrong_version' });
    await connection.closed;
    expect(await refusals('wrong_version')).toBe(1);
    expect(served).toEqual([]);
  });

  it('proves nothing to an acceptor of a version that is too old', async () => {
    let received = 0;
    const address = { host: '127.0.0.1', port: 0 };
    const old = await ENVIRONMENT.network.listenMessages(address, async (connection) => {
      await connection.receive();
      const challenge = {
        kind: 'challenge',
        protocolVersion: OLDEST_PROTOCOL_VERSION - 1,
        name: CONTROLLER.name,
        nonce: new Uint8Array(NONCE_BYTES),
      } as const;
      await connection.send(HANDSHAKE_CODEC.encode(challenge));
      if ((await connection.receive()) !== undefined) received += 1;
    });
    const dialling = dialAs(ROUTER, { address: old.address });
    await expect(dialling).rejects.toMatchObject({ reason: 'wrong_version' });
    await old.close();
    expect(received).toBe(0);
  });

  it('does not trust an acceptor that does not hold the key', async () => {
    // A listener that says "accepted" to anyone, with a proof of its own making.
    const impostor = await ENVIRONMENT.network.listenMessages(
      { host: '127.0.0.1', port: 0 },
      async (connection) => {
        await connection.receive();
        const nonce = new Uint8Array(32);
        const name = 'controller-1';
        await connection.send(
          HANDSHAKE_CODEC.encode({ kind: 'challenge', protocolVersion: 1, name, nonce }),
        );
        await connection.receive();
        await connection.send(HANDSHAKE_CODEC.encode({ kind: 'accepted', proof: nonce }));
        await connection.receive();
      },
    );
    const dialling = dialAs(ROUTER, { address: impostor.address });
    await expect(dialling).rejects.toMatchObject({ reason: 'wrong_key' });
    await impostor.close();
  });

  it('notices that another controller answers at the address', async () => {
    const dialling = dialAs(ROUTER, { memberId: 'controller-2' });
    await expect(dialling).rejects.toMatchObject({ reason: 'wrong_member' });
  });

  it('takes no long names from a stranger', async () => {
    const dialling = dialAs({ ...ROUTER, name: 'x'.repeat(1_000) });
    await expect(dialling).rejects.toMatchObject({ reason: 'closed' });
    expect(await refusals('malformed')).toBe(1);
  });

  const garbage: [string, Uint8Array][] = [
    ['an unknown message', Uint8Array.of(0, 0, 0, 2, 255, 255)],
    [
      'a frame too long for a stranger',
      Buffer.concat([Uint8Array.of(0, 0, 8, 0), Buffer.alloc(2048)]),
    ],
    ['a message out of turn', Uint8Array.of(0, 0, 0, 2, 3, 0)],
  ];
  it.each(garbage)('closes and counts %s', async (_name, bytes) => {
    await sendRaw(bytes);
    expect(await refusals('malformed')).toBe(1);
    expect(served).toEqual([]);
  });

  it('closes and counts an announced length beyond any frame', async () => {
    await sendRaw(Uint8Array.of(255, 255, 255, 255));
    expect(await refusals('malformed')).toBe(1);
  });

  // Guards against strangers who announce long frames and fill the memory until their time is up.
  it('closes the connection of a stranger who announces a long frame, before it has come', async () => {
    const announced = Buffer.alloc(4);
    announced.writeUInt32BE(MAXIMUM_HANDSHAKE_FRAME_BYTES + 1);
    await sendRaw(announced);
    expect(await refusals('malformed')).toBe(1);
    expect(await refusals('timeout')).toBe(0);
  });
});
