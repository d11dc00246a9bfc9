import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { ByteBudget } from '../../src/node/byte-budget.js';
import { SharedMemory } from '../../src/node/shared-memory.js';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import { NodeMessageConnection } from '../../src/node/node-message-connection.js';
import { errorOf, GET, ListenerFixture } from './support/listener-fixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\nx-response-signature: 3e1b.07\r\nx-request-id: mine\r\n';
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';
const WHOLE = `${HEAD}content-length: 4\r\n\r\nbody`;
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`;
/** Its body ends with the connection, so that it is whole from the end of its head on. */
const WITHOUT_LENGTH = `${HEAD}\r\n`;
/** How a peer ends a connection. */
type Ending = 'close' | 'reset';

/** What the peer sends to each request on a connection, the last one cut after so many bytes. */
interface Script {
  readonly before: readonly string[];
  readonly cut: string;
  readonly bytes: number;
  readonly ending: Ending;
}

let peer: Server;
let client: NodeHttpClient;
let script: Script;
const sockets: Socket[] = [];

function answer(socket: Socket, count: number): void {
  const { before, cut, bytes, ending } = script;
  const whole = before[count];
  if (whole !== undefined) {
    socket.write(whole);
    return;
  }
  const sent = Buffer.from(cut, 'latin1').subarray(0, bytes);
  if (ending === 'close') socket.end(sent);
  else if (bytes === 0) socket.resetAndDestroy();
  else socket.write(sent, () => setImmediate(() => socket.resetAndDestroy()));
}

function createClient(): NodeHttpClient {
  const { port } = peer.address() as AddressInfo;
  const bounds = { connections: 1, maximumResponseBytes: 1_024 };
  const times = { connectTimeout: 5_000, keepAliveTimeout: 30_000 };
  return new NodeHttpClient({ host: '127.0.0.1', port }, { ...bounds, ...times });
}

beforeEach(async () => {
  peer = createServer((socket) => {
    let count = 0;
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      answer(socket, count);
      count += 1;
    });
  });
  peer.listen(0, '127.0.0.1');
  await once(peer, 'listening');
});

afterEach(() => {
  client.destroy();
  for (const socket of sockets.splice(0)) socket.destroy();
  peer.close();
});

const cases: readonly { name: string; before: readonly string[]; text: string; until?: number }[] =
  [
    { name: 'with a length', before: [], text: WHOLE },
    { name: 'in chunks', before: [], text: CHUNKED },
    { name: 'without a length', before: [], text: WITHOUT_LENGTH },
    { name: 'after an interim response', before: [], text: INTERIM + WHOLE },
    { name: 'without a length after an interim one', before: [], text: INTERIM + WITHOUT_LENGTH },
    { name: 'second on a kept connection', before: [WHOLE], text: WHOLE },
    { name: 'second, without a length', before: [WHOLE], text: WITHOUT_LENGTH },
    { name: 'with bare line feeds', before: [], text: WHOLE.replaceAll('\r\n', '\n') },
  ];
const endings: readonly Ending[] = ['close', 'reset'];

// Guards against a part of a response that passes for a whole one, with an empty or short body.
describe('a peer that stops in the middle of its response', () => {
  it.each(cases.flatMap((one) => endings.map((ending) => ({ ...one, ending }))))(
    'gives no response: $name, $ending',
    async ({ before, text, ending }) => {
      for (let bytes = 0; bytes < text.length; bytes += 1) {
        script = { before, cut: text, bytes, ending };
        client = createClient();
        const get = { method: 'GET', path: '/', headers: {} };
        for (const whole of before) {
          const { body } = await client.request(get);
          expect(whole.endsWith(Buffer.from(body).toString())).toBe(true);
        }
        const error: unknown = await client.request(get).catch((reason: unknown) => reason);
        expect(error, `cut after ${bytes} bytes`).toBeInstanceOf(HttpClientError);
        client.destroy();
      }
    },
  );

  it('reaches a caller whose request is passed on as a typed error', async () => {
    const fixture = new ListenerFixture();
    await fixture.start(async () => {
      const { status, body } = await client.request({ method: 'GET', path: '/', headers: {} });
      return { status, body };
    });
    for (let bytes = 0; bytes < WHOLE.length; bytes += 1) {
      script = { before: [], cut: WHOLE, bytes, ending: 'close' };
      client = createClient();
      const caller = await fixture.call(GET);
      expect(errorOf(await caller.next()), `cut after ${bytes} bytes`).toMatchObject({
        code: 'failed',
      });
      caller.close();
      client.destroy();
    }
    await fixture.stop();
  });
});

describe('a gateway that stops in the middle of a message to another', () => {
  it('delivers no message, whichever byte is the last one', async () => {
    client = createClient();
    const memory = new SharedMemory(new ByteBudget(Infinity));
    const frame = Buffer.concat([Buffer.from([0, 0, 0, 6]), Buffer.from('report')]);
    for (let bytes = 1; bytes < frame.length; bytes += 1) {
      const accepted = once(peer, 'connection') as Promise<[Socket]>;
      const { port } = peer.address() as AddressInfo;
      const socket = connect(port, '127.0.0.1');
      const [other] = await accepted;
      const connection = new NodeMessageConnection(socket, memory);
      other.end(frame.subarray(0, bytes));
      await expect(connection.receive()).rejects.toThrow('cut in a frame');
    }
  });
});
