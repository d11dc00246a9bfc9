import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { errorOf, GET, ListenerFixture, post } from './support/listener-fixture.js';

let fixture = new ListenerFixture();

beforeEach(() => {
  fixture = new ListenerFixture();
});

afterEach(() => fixture.stop());

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
      const told: number[] = [];
      await fixture.start(undefined, { onRefused: (each) => told.push(each.status) });
      const caller = await fixture.call(bytes);
      const response = await caller.next();
      expect(response?.status).toBe(status);
      expect(errorOf(response)).toMatchObject({ code: 'bad_request', mayHaveRun: false });
      expect(told).toEqual([status]);
      await caller.closed;
      expect(fixture.seen).toEqual([]);
    });
  }

  it('for want of memory is refused as not run, and taken once there is room', async () => {
    await fixture.start(fixture.echo, { maximumBufferedBytes: 1_500, requestTimeout: 60_000 });
    const holder = await fixture.call(post('x'.repeat(1_000), 1_001));
    const other = await fixture.call(post('y'.repeat(1_000)));
    const response = await other.next();
    expect(response?.status).toBe(503);
    expect(response?.header).toContain('retry-after: 1');
    expect(errorOf(response)).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    holder.send('x');
    expect((await holder.next())?.status).toBe(200);
    expect((await (await fixture.call(post('y'.repeat(1_000)))).next())?.status).toBe(200);
    holder.close();
  });

  it('disturbs nobody else', async () => {
    await fixture.start(fixture.echo, { maximumConnections: 1_000 });
    const bad = Object.values(refused).map(([, bytes]) => bytes);
    await Promise.all([...bad, ...bad, '', ''].map((bytes) => fixture.call(bytes)));
    const good = await fixture.call('');
    for (const body of ['one', 'two', 'three']) {
      good.send(post(body));
      expect((await good.next())?.body).toBe(body);
    }
    expect(fixture.seen).toEqual(['one', 'two', 'three']);
  });

  it('may be any bytes at all', async () => {
    await fixture.start();
    const piece = fc.oneof(
      fc.constantFrom(GET, post('ab'), post('a', 2), 'POST ', '\r\n', '\r\n\r\n', ' HTTP/1.1'),
      fc.constantFrom('content-length: 1e9\r\n', 'transfer-encoding: chunked\r\n', 'ffffffff\r\n'),
      fc.string({ maxLength: 40, unit: 'binary' }),
    );
    const property = fc.asyncProperty(fc.array(piece, { maxLength: 12 }), async (pieces) => {
      const caller = await fixture.call(Buffer.from(pieces.join(''), 'latin1'));
      caller.socket.end();
      await caller.closed;
      const good = await fixture.call(post('still served'));
      expect((await good.next())?.body).toBe('still served');
      good.close();
    });
    await fc.assert(property, { seed: 20_261_202, numRuns: 150 });
  });
});
