import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';
import { listenHttp } from '../../src/node/node-http-server.js';
import type { HttpHandler, HttpListener, HttpListenOptions } from '../../src/seams/http.js';
import { RawCaller, type RawResponse } from './support/raw-caller.js';

const LIMITS: HttpListenOptions = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 2_048,
  requestTimeout: 250,
  maximumConnections: 100,
  maximumBufferedBytes: 65_536,
};
const LOOPBACK = { host: '127.0.0.1', port: 0 };
const GET = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';
/** Far more than the system buffers of a connection. */
const LARGE_BODY_BYTES = 32 * 1_048_576;

function post(body: string, announced = body.length): string {
  return `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${announced}\r\n\r\n${body}`;
}

const open: { listener: HttpListener | undefined; callers: RawCaller[] } = {
  listener: undefined,
  callers: [],
};
/** Bodies the handler has seen. */
let seen: string[] = [];

const echo: HttpHandler = async ({ body }) => {
  seen.push(Buffer.from(body).toString());
  return { status: 200, body };
};

async function start(
  handler = echo,
  limits: Partial<HttpListenOptions> = {},
  minimumReadRate?: number,
): Promise<HttpListener> {
  seen = [];
  open.listener = await listenHttp(LOOPBACK, { ...LIMITS, ...limits }, handler, minimumReadRate);
  return open.listener;
}

async function call(bytes: string | Uint8Array): Promise<RawCaller> {
  if (open.listener === undefined) throw new Error('not listening');
  const caller = await RawCaller.open(open.listener.address);
  open.callers.push(caller);
  caller.send(bytes);
  return caller;
}

function errorOf(response: RawResponse | undefined): unknown {
  if (response === undefined) return undefined;
  return (JSON.parse(response.body) as { error: unknown }).error;
}

afterEach(async () => {
  for (const caller of open.callers) caller.close();
  open.callers = [];
  await open.listener?.close();
});

describe('a request that is not taken', () => {
  const chunk = `400\r\n${'x'.repeat(1_024)}\r\n`;
  const refused: Readonly<Record<string, readonly [number, string]>> = {
    'no HTTP': [400, 'nonsense\r\n\r\n'],
    'too large a header': [431, `GET / HTTP/1.1\r\nx: ${'y'.repeat(3_000)}\r\n\r\n`],
    'too large a body': [413, post('', 1_025)],
    'too large a body, not announced': [
      413,
      `POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${chunk}${chunk}`,
    ],
    'too large a body, asked about first': [
      413,
      'POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 9999\r\n\r\n',
    ],
    'a header that never ends': [408, 'GET / HTTP/1.1\r\nhost: '],
    'a body that never ends': [408, post('half', 8)],
    'a broken chunk': [
      400,
      'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nnonsense\r\n',
    ],
  };
  for (const [name, [status, bytes]] of Object.entries(refused)) {
    it(`for ${name} gets a typed ${status}, and its connection is closed`, async () => {
      await start();
      const caller = await call(bytes);
      const response = await caller.next();
      expect(response?.status).toBe(status);
      expect(errorOf(response)).toMatchObject({ code: 'bad_request', mayHaveRun: false });
      await caller.closed;
      expect(seen).toEqual([]);
    });
  }

  it('for want of memory is refused as not run, and taken once there is room', async () => {
    await start(echo, { maximumBufferedBytes: 1_500, requestTimeout: 60_000 });
    const holder = await call(post('x'.repeat(1_000), 1_001));
    const other = await call(post('y'.repeat(1_000)));
    const response = await other.next();
    expect(response?.status).toBe(503);
    expect(response?.header).toContain('retry-after: 1');
    expect(errorOf(response)).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    holder.send('x');
    expect((await holder.next())?.status).toBe(200);
    expect((await (await call(post('y'.repeat(1_000)))).next())?.status).toBe(200);
    holder.close();
  });

  it('disturbs nobody else', async () => {
    await start(echo, { maximumConnections: 1_000 });
    const bad = Object.values(refused).map(([, bytes]) => bytes);
    await Promise.all([...bad, ...bad, '', ''].map((bytes) => call(bytes)));
    const good = await call('');
    for (const body of ['one', 'two', 'three']) {
      good.send(post(body));
      expect((await good.next())?.body).toBe(body);
    }
    expect(seen).toEqual(['one', 'two', 'three']);
  });

  it('may be any bytes at all', async () => {
    await start();
    const piece = fc.oneof(
      fc.constantFrom(GET, post('ab'), post('a', 2), 'POST ', '\r\n', '\r\n\r\n', ' HTTP/1.1'),
      fc.constantFrom('content-length: 1e9\r\n', 'transfer-encoding: chunked\r\n', 'ffffffff\r\n'),
      fc.string({ maxLength: 40, unit: 'binary' }),
    );
    const property = fc.asyncProperty(fc.array(piece, { maxLength: 12 }), async (pieces) => {
      const caller = await call(Buffer.from(pieces.join(''), 'latin1'));
      caller.socket.end();
      await caller.closed;
      const good = await call(post('still served'));
      expect((await good.next())?.body).toBe('still served');
      good.close();
    });
    await fc.assert(property, { seed: 20_261_202, numRuns: 150 });
  });
});

describe('a handler', () => {
  it('that fails leaves open whether anything was run', async () => {
    await start(async () => Promise.reject(new Error('broken')));
    const response = await (await call(GET)).next();
    expect(response?.status).toBe(500);
    expect(errorOf(response)).toMatchObject({ code: 'failed', mayHaveRun: true });
  });

  for (const leave of ['close', 'end'] as const) {
    it(`is told that its caller is gone by the caller's ${leave}`, async () => {
      let began = (): void => undefined;
      const beginning = new Promise<void>((resolve) => (began = resolve));
      const gone = new Promise<void>((resolve) => {
        void start(({ signal }) => {
          began();
          return new Promise((_, reject) => {
            signal.addEventListener('abort', () => {
              resolve();
              reject(new Error('gone'));
            });
          });
        });
      });
      await new Promise((resolve) => setImmediate(resolve));
      const caller = await call(GET);
      await beginning;
      if (leave === 'close') caller.close();
      else caller.socket.end();
      await gone;
    });
  }

  it('gets the requests of one connection one after the other', async () => {
    const finish: ((body: string) => void)[] = [];
    await start(
      () => new Promise((resolve) => finish.push((body) => resolve({ status: 200, body }))),
    );
    const caller = await call(GET + GET);
    while (finish.length === 0) await new Promise((resolve) => setImmediate(resolve));
    for (let turn = 0; turn < 50; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    expect(finish).toHaveLength(1);
    finish[0]?.('first');
    expect((await caller.next())?.body).toBe('first');
    while (finish.length < 2) await new Promise((resolve) => setImmediate(resolve));
    finish[1]?.('second');
    expect((await caller.next())?.body).toBe('second');
  });
});

describe('bytes that are no request after one that is served', () => {
  it('are never answered in its place', async () => {
    let finish = (): void => undefined;
    const began = new Promise<void>((begin) => {
      void start(() => {
        begin();
        return new Promise((resolve) => {
          finish = () => resolve({ status: 200, body: 'own answer' });
        });
      });
    });
    await new Promise((resolve) => setImmediate(resolve));
    const caller = await call(GET);
    await began;
    caller.send('nonsense\r\n\r\n');
    const response = caller.next();
    await Promise.race([caller.closed, response]);
    finish();
    expect((await response)?.body ?? 'own answer').toBe('own answer');
  });
});

describe('close', () => {
  it('answers what is in flight and does not wait for half-open connections', async () => {
    let finish = (): void => undefined;
    const began = new Promise<void>((begin) => {
      void start(() => {
        begin();
        return new Promise((resolve) => (finish = () => resolve({ status: 200, body: 'whole' })));
      });
    });
    await new Promise((resolve) => setImmediate(resolve));
    const idle = await call('');
    const half = await call('POST / HTTP/1.1\r\ncontent-');
    const slow = await call(post('half', 8));
    const served = await call(GET);
    await began;
    const closed = open.listener?.close();
    finish();
    const response = await served.next();
    expect(response?.body).toBe('whole');
    expect(response?.header).toContain('connection: close');
    await closed;
    await Promise.all([idle.closed, half.closed, slow.closed]);
  });

  it('lets a response on its way reach its caller in full', async () => {
    const body = Buffer.alloc(LARGE_BODY_BYTES, 'x');
    let answered = 0;
    await start(async () => {
      answered += 1;
      return { status: 200, body };
    });
    const caller = await call('');
    caller.socket.pause();
    caller.send(GET);
    while (answered === 0) await new Promise((resolve) => setImmediate(resolve));
    const closed = open.listener?.close();
    caller.socket.resume();
    await caller.closed;
    await closed;
    expect(caller.socket.bytesRead).toBeGreaterThan(LARGE_BODY_BYTES);
  });

  it('does not wait for a caller that never takes its answer', async () => {
    const body = Buffer.alloc(LARGE_BODY_BYTES);
    let answered = 0;
    const handler: HttpHandler = async () => {
      answered += 1;
      return { status: 200, body };
    };
    await start(handler, {}, LARGE_BODY_BYTES);
    const caller = await call('');
    caller.socket.pause();
    caller.send(GET);
    while (answered === 0) await new Promise((resolve) => setImmediate(resolve));
    await open.listener?.close();
    caller.socket.resume();
    await caller.closed;
  });
});
