import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { HttpHandler } from '../../src/seams/http.js';
import { errorOf, GET, ListenerFixture, nextTurn, post } from './support/listener-fixture.js';

/** Far more than the system buffers of a connection. */
const LARGE_BODY_BYTES = 32 * 1_048_576;

let fixture = new ListenerFixture();

beforeEach(() => {
  fixture = new ListenerFixture();
});

afterEach(() => fixture.stop());

describe('a handler', () => {
  it('that fails leaves open whether anything was run', async () => {
    await fixture.start(async () => Promise.reject(new Error('broken')));
    const response = await (await fixture.call(GET)).next();
    expect(response?.status).toBe(500);
    expect(errorOf(response)).toMatchObject({ code: 'failed', mayHaveRun: true });
  });

  for (const leave of ['close', 'end'] as const) {
    it(`is told that its caller is gone by the caller's ${leave}`, async () => {
      let begin = (): void => undefined;
      let noticeGone = (): void => undefined;
      const beginning = new Promise<void>((resolve) => (begin = resolve));
      const gone = new Promise<void>((resolve) => (noticeGone = resolve));
      await fixture.start(async ({ signal }) => {
        signal.addEventListener('abort', noticeGone);
        begin();
        await gone;
        return { status: 200, body: '' };
      });
      const caller = await fixture.call(GET);
      await beginning;
      if (leave === 'close') caller.close();
      else caller.socket.end();
      await gone;
    });
  }

  it('can tell which headers came more than once, whatever their case', async () => {
    const told: unknown[] = [];
    await fixture.start(async ({ headers, isRepeated }) => {
      told.push([headers['x-key'], isRepeated?.('x-key'), isRepeated?.('host')]);
      return { status: 200, body: '' };
    });
    const lines = ['x-key: a\r\nX-Key: a', 'X-KEY: a', 'accept: a'];
    for (const line of lines) {
      const caller = await fixture.call(`GET / HTTP/1.1\r\nhost: x\r\n${line}\r\n\r\n`);
      await caller.next();
    }
    expect(told).toEqual([
      ['a, a', true, false],
      ['a', false, false],
      [undefined, false, false],
    ]);
  });

  it('gets the requests of one connection one after the other', async () => {
    const finish: ((body: string) => void)[] = [];
    await fixture.start(
      () => new Promise((resolve) => finish.push((body) => resolve({ status: 200, body }))),
    );
    const caller = await fixture.call(GET + GET);
    while (finish.length === 0) await nextTurn();
    for (let turn = 0; turn < 50; turn += 1) await nextTurn();
    expect(finish).toHaveLength(1);
    finish[0]?.('first');
    expect((await caller.next())?.body).toBe('first');
    while (finish.length < 2) await nextTurn();
    finish[1]?.('second');
    expect((await caller.next())?.body).toBe('second');
  });
});

describe('bytes that are no request after one that is served', () => {
  it('are never answered in its place', async () => {
    const { began, finish } = await fixture.startHeld('own answer');
    const caller = await fixture.call(GET);
    await began;
    caller.send('nonsense\r\n\r\n');
    await nextTurn();
    finish();
    expect((await caller.next())?.body).toBe('own answer');
    expect((await caller.next())?.status).toBe(400);
    await caller.closed;
  });
});

describe('close', () => {
  it('answers what is in flight and does not wait for half-open connections', async () => {
    const { began, finish } = await fixture.startHeld('whole');
    const idle = await fixture.call('');
    const half = await fixture.call('POST / HTTP/1.1\r\ncontent-');
    const slow = await fixture.call(post('half', 8));
    const served = await fixture.call(GET);
    await began;
    const closed = fixture.close();
    finish();
    const response = await served.next();
    expect(response?.body).toBe('whole');
    expect(response?.header).toContain('connection: close');
    await closed;
    await Promise.all([idle.closed, half.closed, slow.closed]);
  });

  // Guards against callers that can't know whether a request was run whose connection was reset.
  it('answers requests that arrive at the very moment', async () => {
    await fixture.start();
    const used = await fixture.call(GET);
    await used.next();
    const unused = await fixture.call('');
    const other = await fixture.call(GET);
    await other.next();
    used.send(GET);
    unused.send(GET);
    const closed = fixture.close();
    const responses = [await used.next(), await unused.next()];
    expect(responses.map((response) => response?.status)).toEqual([200, 200]);
    for (const response of responses) expect(response?.header).toContain('connection: close');
    await closed;
    await other.closed;
  });

  // Guards against connections that are accepted by the system and reset before they are read.
  it('answers a request on a connection that is not accepted yet', async () => {
    await fixture.start();
    const calling = fixture.call(GET);
    // The system completes the connection while this process does something else.
    await new Promise((resolve) => process.nextTick(resolve));
    const closed = fixture.close();
    const caller = await calling;
    expect((await caller.next())?.status).toBe(200);
    await closed;
  });

  it('lets a response on its way reach its caller in full', async () => {
    const body = Buffer.alloc(LARGE_BODY_BYTES, 'x');
    let answered = 0;
    await fixture.start(async () => {
      answered += 1;
      return { status: 200, body };
    });
    const caller = await fixture.call('');
    caller.socket.pause();
    caller.send(GET);
    while (answered === 0) await nextTurn();
    const closed = fixture.close();
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
    await fixture.start(handler, {}, LARGE_BODY_BYTES);
    const caller = await fixture.call('');
    caller.socket.pause();
    caller.send(GET);
    while (answered === 0) await nextTurn();
    await fixture.close();
    caller.socket.resume();
    await caller.closed;
    expect(caller.socket.bytesRead).toBeLessThan(LARGE_BODY_BYTES);
  });
});
