import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import type { HttpClientRequest } from '../../src/seams/http.js';

const GET: HttpClientRequest = { method: 'GET', path: '/', headers: {} };
const FRESH: HttpClientRequest = { ...GET, freshConnection: true };
/** Turns of the event loop after which bytes written on loopback have long arrived. */
const TURNS_TO_ARRIVE = 100;
const END_OF_HEADER = '\r\n\r\n';

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function httpReply(body: string, announced = body.length): string {
  return `HTTP/1.1 200 OK\r\nx-mark: ${body}\r\ncontent-length: ${announced}${END_OF_HEADER}${body}`;
}

/** A peer whose every byte the test decides. */
class RawPeer {
  readonly sockets: Socket[] = [];
  requests = 0;
  private server: Server | undefined;

  /** `onRequest` gets each request's connection and its number, from 1. */
  async start(onRequest: (socket: Socket, number: number) => void): Promise<NodeHttpClient> {
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        const received = chunk.toString('latin1').split(END_OF_HEADER).length - 1;
        for (let index = 0; index < received; index += 1) {
          this.requests += 1;
          onRequest(socket, this.requests);
        }
      });
    });
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const { port } = this.server.address() as AddressInfo;
    return new NodeHttpClient(
      { host: '127.0.0.1', port },
      {
        connections: 1,
        maximumResponseBytes: 64,
        connectTimeout: 5_000,
        keepAliveTimeout: 30_000,
      },
    );
  }

  stop(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

async function failureOf(response: Promise<unknown>): Promise<HttpClientError> {
  const error: unknown = await response.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  if (error instanceof HttpClientError) return error;
  throw new Error(`expected an HttpClientError, got ${String(error)}`);
}

const peer = { current: new RawPeer() };
const client: { current: NodeHttpClient | undefined } = { current: undefined };

async function start(onRequest: (socket: Socket, number: number) => void): Promise<NodeHttpClient> {
  peer.current = new RawPeer();
  client.current = await peer.current.start(onRequest);
  return client.current;
}

afterEach(() => {
  client.current?.destroy();
  peer.current.stop();
});

function textOf(response: { readonly body: Uint8Array }): string {
  return Buffer.from(response.body).toString('utf8');
}

describe('NodeHttpClient', () => {
  it('reuses a connection, but never for a request that asks for a fresh one', async () => {
    const http = await start((socket, number) => socket.write(httpReply(`reply-${number}`)));
    await http.request(GET);
    await http.request(GET);
    expect(peer.current.sockets).toHaveLength(1);
    expect(textOf(await http.request(FRESH))).toBe('reply-3');
    expect(textOf(await http.request(FRESH))).toBe('reply-4');
    expect(peer.current.sockets).toHaveLength(3);
  });

  it('does not send a fresh request into a connection the peer has closed', async () => {
    const http = await start((socket, number) => {
      if (number > 1) socket.write(httpReply('ok'));
      else socket.write(httpReply('ok'), () => socket.destroy());
    });
    await http.request(GET);
    expect((await http.request(FRESH)).status).toBe(200);
    expect(peer.current.requests).toBe(2);
  });

  it('never sends a second request before the first is answered', async () => {
    let answer = (): void => undefined;
    const http = await start((socket, number) => {
      if (number === 2) answer = () => void socket.write(httpReply('second'));
      else socket.write(httpReply(`reply-${number}`));
    });
    await http.request(GET);
    const second = http.request(GET);
    const third = http.request(GET);
    while (peer.current.requests < 2) await nextTurn();
    for (let turn = 0; turn < TURNS_TO_ARRIVE; turn += 1) await nextTurn();
    expect(peer.current.requests).toBe(2);
    answer();
    expect([textOf(await second), textOf(await third)]).toEqual(['second', 'reply-3']);
  });

  it('opens no connection after it was closed, of a kind used before or not', async () => {
    const http = await start((socket) => socket.write(httpReply('ok')));
    await http.request(GET);
    await http.close();
    for (const request of [GET, FRESH]) {
      const failure = await failureOf(http.request(request));
      expect(failure).toMatchObject({ kind: 'connect_failed', requestSent: false });
    }
    expect(peer.current.requests).toBe(1);
  });

  it('gives bytes that nobody asked for to nobody', async () => {
    const http = await start((socket, number) => {
      socket.write(httpReply(`reply-${number}`) + httpReply(`stray-${number}`));
    });
    expect(textOf(await http.request(GET))).toBe('reply-1');
    expect(textOf(await http.request(GET))).toBe('reply-2');
    expect(peer.current.sockets).toHaveLength(2);
  });

  it('closes the connection of a response that is not accepted', async () => {
    const http = await start((socket, number) => socket.write(httpReply(`reply-${number}`)));
    const acceptResponse = (headers: Readonly<Record<string, string>>): boolean =>
      headers['x-mark'] !== 'reply-1';
    const error = await failureOf(http.request({ ...GET, acceptResponse }));
    expect(error).toMatchObject({ kind: 'response_rejected', requestSent: true });
    expect(textOf(await http.request({ ...GET, acceptResponse }))).toBe('reply-2');
    expect(peer.current.sockets).toHaveLength(2);
  });

  it('closes the connection of a body that is not accepted, before it is whole', async () => {
    const http = await start((socket, number) => {
      socket.write(number === 1 ? httpReply('xxxx', 60) : httpReply('ok'));
    });
    const asked: number[] = [];
    const acceptBytes = (bytes: number): boolean => {
      asked.push(bytes);
      return false;
    };
    const error = await failureOf(http.request({ ...GET, acceptBytes }));
    expect(error).toMatchObject({ kind: 'response_too_large', requestSent: true });
    expect(asked).toEqual([4]);
    expect(textOf(await http.request(GET))).toBe('ok');
    expect(peer.current.sockets).toHaveLength(2);
  });

  const broken: readonly [string, string][] = [
    ['response_truncated', httpReply('cut', 20)],
    ['response_too_large', httpReply('x'.repeat(65))],
    ['malformed_response', 'not HTTP at all\r\n\r\n'],
    ['malformed_response', `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(70_000)}\r\n\r\n`],
    ['connection_lost', ''],
  ];
  for (const [number, [kind, bytes]] of broken.entries()) {
    it(`reports ${kind} (${number}) as sent, without sending again`, async () => {
      const http = await start((socket) => socket.end(bytes));
      expect(await failureOf(http.request(GET))).toMatchObject({ kind, requestSent: true });
      expect(peer.current.requests).toBe(1);
    });
  }

  // Guards against answers of replicas in trouble that reach callers with a status no client knows.
  for (const status of ['000', '001', '099', '600', '999']) {
    for (const rest of ['content-length: 2\r\n\r\nok', 'content-length: 0\r\n\r\n', '\r\n']) {
      it(`takes a response with status ${status} for malformed (${JSON.stringify(rest)})`, async () => {
        const http = await start((socket, number) => {
          if (number > 1) socket.write(httpReply('next'));
          else if (rest === '\r\n') socket.end(`HTTP/1.1 ${status} odd\r\n${rest}`);
          else socket.write(`HTTP/1.1 ${status} odd\r\n${rest}`);
        });
        const error = await failureOf(http.request(GET));
        expect(error).toMatchObject({ kind: 'malformed_response', requestSent: true });
        expect(textOf(await http.request(GET))).toBe('next');
        expect(peer.current.sockets).toHaveLength(2);
      });
    }
  }

  it('takes a body without a length that was reset for truncated, not for whole', async () => {
    const header = `HTTP/1.1 200 OK\r\nconnection: close${END_OF_HEADER}`;
    const http = await start((socket) => socket.write(`${header}part`));
    const acceptBytes = (): boolean => {
      for (const socket of peer.current.sockets) socket.resetAndDestroy();
      return true;
    };
    const error = await failureOf(http.request({ ...GET, acceptBytes }));
    expect(error).toMatchObject({ kind: 'response_truncated', requestSent: true });
  });

  it('takes it for truncated also when the reset is there before the bytes are read', async () => {
    const header = `HTTP/1.1 200 OK\r\nconnection: close${END_OF_HEADER}`;
    const http = await start((socket) => {
      socket.write(`${header}part`, () => socket.resetAndDestroy());
    });
    const error = await failureOf(http.request(GET));
    expect(error.requestSent).toBe(true);
  });

  it('takes a body without a length that ends with its connection for whole', async () => {
    const header = `HTTP/1.1 200 OK\r\nconnection: close${END_OF_HEADER}`;
    const http = await start((socket) => socket.end(`${header}whole`));
    expect(textOf(await http.request(GET))).toBe('whole');
  });

  it('reports a refused connection as not sent', async () => {
    const http = await start(() => undefined);
    peer.current.stop();
    const error = await failureOf(http.request(GET));
    expect(error).toMatchObject({ kind: 'connect_failed', requestSent: false });
  });

  it('tells an abort before sending from one in flight, whose connection it closes', async () => {
    const http = await start(() => undefined);
    const [inFlight, queued] = [new AbortController(), new AbortController()];
    const first = failureOf(http.request({ ...GET, signal: inFlight.signal }));
    const second = failureOf(http.request({ ...GET, signal: queued.signal }));
    while (peer.current.requests === 0) await nextTurn();
    queued.abort();
    expect(await second).toMatchObject({ kind: 'aborted', requestSent: false });
    const [socket] = peer.current.sockets;
    if (socket === undefined) throw new Error('no connection');
    const closed = once(socket, 'close');
    inFlight.abort();
    expect(await first).toMatchObject({ kind: 'aborted', requestSent: true });
    await closed;
    expect(peer.current.requests).toBe(1);
  });
});
