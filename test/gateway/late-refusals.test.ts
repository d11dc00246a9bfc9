import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import { AttemptSender } from '../../src/gateway/attempt-sender.js';
import type { AttemptResult } from '../../src/gateway/attempt-result.js';
import type { CallerRequest } from '../../src/gateway/caller-request.js';
import { ColdSendLimiter } from '../../src/gateway/cold-send-limiter.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { ReplicaTarget } from '../../src/gateway/replica-target.js';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import { ZoneTraffic } from '../../src/observability/zone-traffic.js';
import { ManualClock } from '../support/manual-clock.js';

const { requestId, notExecuted, signature } = DEFAULT_EXCHANGE_HEADERS;
const END_OF_HEAD = '\r\n\r\n';

/** A received request, and its connection. */
interface Received {
  readonly id: string;
  readonly socket: Socket;
}

/** A replica whose every byte the test decides. */
class RawReplica {
  readonly sockets: Socket[] = [];
  private readonly received: Received[] = [];
  private wake = (): void => undefined;
  private readonly server: Server = createServer((socket) => {
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => this.onBytes(socket, bytes.toString('latin1')));
  });

  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** The next request that arrives. */
  async next(): Promise<Received> {
    for (;;) {
      const received = this.received.shift();
      if (received !== undefined) return received;
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private onBytes(socket: Socket, text: string): void {
    const id = new RegExp(`${requestId}: (\\S+)`, 'i').exec(text)?.[1] ?? '';
    this.received.push({ id, socket });
    this.wake();
  }
}

function refusalOf(id: string): string {
  const fields = `${requestId}: ${id}\r\n${notExecuted}: 1\r\ncontent-length: 0`;
  return `HTTP/1.1 503 Service Unavailable\r\n${fields}${END_OF_HEAD}`;
}

function answerTo(id: string): string {
  const fields = `${requestId}: ${id}\r\n${signature}: s\r\ncontent-length: 2`;
  return `HTTP/1.1 200 OK\r\n${fields}${END_OF_HEAD}ok`;
}

let replica: RawReplica;
let target: ReplicaTarget;
const sender = new AttemptSender(
  new ManualClock(),
  DEFAULT_EXCHANGE_HEADERS,
  () => undefined,
  new ZoneTraffic('nayoro', new Registry()),
);

/** Sends a request of this id once. */
function send(id: string): Promise<AttemptResult> {
  const request = {
    id,
    method: 'POST',
    target: '/bill',
    headers: { [requestId]: id, host: 'desk.example' },
    body: Buffer.from('{}'),
    deadline: 60_000,
  } as unknown as CallerRequest;
  const { signal } = new AbortController();
  return sender.send(request, target, {
    signal,
    connectWithin: undefined,
    onSent: () => undefined,
  });
}

/** Connects to the replica, over at most this many connections. */
async function connect(connections: number): Promise<void> {
  const port = await replica.listen();
  const bounds = { maximumResponseBytes: 1_000, connectTimeout: 5_000, keepAliveTimeout: 30_000 };
  const client = new NodeHttpClient({ host: '127.0.0.1', port }, { connections, ...bounds });
  const entry = {
    replicaId: 'replica-1',
    service: 'ledger',
    address: `127.0.0.1:${port}`,
    zone: 'nayoro',
    capacity: 2,
    state: RegisteredState.Ready,
    sequence: 1,
    warmupMs: 0,
  };
  target = new ReplicaTarget(entry, client, entry.address, -Infinity, new ColdSendLimiter(0));
}

/** Sends a request that the replica refuses; its connection stays open. */
async function sendRefused(id: string): Promise<Socket> {
  const refused = send(id);
  const { socket } = await replica.next();
  socket.write(refusalOf(id));
  expect(await refused).toMatchObject({ kind: 'notRun' });
  return socket;
}

beforeEach(() => {
  replica = new RawReplica();
});

afterEach(() => {
  target.client.destroy();
  replica.stop();
});

describe('a refusal that a replica sends once more, late', () => {
  // Guards against "not run" for what runs: the copy was taken for the answer to the next sending.
  it.each([1, 4])(
    'is not taken for that to the next sending, over %i connections',
    async (count) => {
      await connect(count);
      const first = await sendRefused('a');
      const second = send('a');
      const { socket } = await replica.next();
      // The copy comes while the replica works on the second sending.
      if (!first.destroyed) first.write(refusalOf('a'));
      for (let turn = 0; turn < 50; turn += 1)
        await new Promise((resolve) => setImmediate(resolve));
      socket.write(answerTo('a'));
      expect(await second).toMatchObject({ kind: 'answered' });
      expect(socket).not.toBe(first);
    },
  );

  // Guards against a new connection for each request beside the one that was refused.
  it('costs other requests no connection', async () => {
    await connect(4);
    const first = await sendRefused('a');
    const other = send('b');
    const { socket } = await replica.next();
    expect(socket).toBe(first);
    socket.write(answerTo('b'));
    expect(await other).toMatchObject({ kind: 'answered' });
    expect(replica.sockets).toHaveLength(1);
  });
});
