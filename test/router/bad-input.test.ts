import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { QueryErrorBody } from '../../src/model/query-answer.js';
import { RouterHarness, SERVICE } from './support/router-harness.js';

const PATH = `/v1/services/${SERVICE}/query`;
const RUN = { seed: 20_261_202, numRuns: 300 };
/** The back ends of the harness take 1 ms. */
const SHORT_DEADLINE_MS = 2;
const VALID_REQUEST = { requestId: 'request-1', query: { term: 'snow' } };

async function postText(harness: RouterHarness, text: string | Uint8Array, path = PATH) {
  const response = await harness.clock.runUntil(harness.post(path, Buffer.from(text)));
  const body = JSON.parse(Buffer.from(response.body).toString('utf8')) as QueryErrorBody;
  return { status: response.status, error: body.error };
}

async function countMetricSeries(harness: RouterHarness): Promise<number> {
  const metrics = await harness.metrics.getMetricsAsJSON();
  return metrics.reduce((count, { values }) => count + values.length, 0);
}

describe('a request that is wrong', () => {
  const wrong: Readonly<Record<string, [string, string | undefined]>> = {
    'an unknown key': [JSON.stringify({ ...VALID_REQUEST, dedline: 5 }), undefined],
    'a key that means the prototype': [
      `{"__proto__":{},${JSON.stringify(VALID_REQUEST).slice(1)}`,
      undefined,
    ],
    'no query': [JSON.stringify({ requestId: 'request-1' }), 'query'],
    'no request id': [JSON.stringify({ query: 1 }), 'requestId'],
    'a request id with a line break': [
      JSON.stringify({ ...VALID_REQUEST, requestId: 'a\nb' }),
      'requestId',
    ],
    'a deadline of 0': [JSON.stringify({ ...VALID_REQUEST, deadlineMs: 0 }), 'deadlineMs'],
    'a deadline below 0': [JSON.stringify({ ...VALID_REQUEST, deadlineMs: -5 }), 'deadlineMs'],
    'a deadline of days': [JSON.stringify({ ...VALID_REQUEST, deadlineMs: 1e9 }), 'deadlineMs'],
    'an endless deadline': ['{"requestId":"request-1","query":1,"deadlineMs":1e999}', 'deadlineMs'],
    'a deadline in words': [JSON.stringify({ ...VALID_REQUEST, deadlineMs: 'soon' }), 'deadlineMs'],
    'a coverage above 1': [
      JSON.stringify({ ...VALID_REQUEST, requiredCoverage: 1.1 }),
      'requiredCoverage',
    ],
    'a query nested too deeply': [
      `{"requestId":"request-1","query":${'['.repeat(200_000)}${']'.repeat(200_000)}}`,
      'query',
    ],
    'a number beyond all bounds': ['{"requestId":"request-1","query":{"a":[1e999]}}', 'query'],
    'a number of very many digits': [
      `{"requestId":"request-1","query":-${'9'.repeat(400)}}`,
      'query',
    ],
    'half a body': [JSON.stringify(VALID_REQUEST).slice(0, -3), undefined],
    'an array': ['[]', undefined],
    nothing: ['', undefined],
  };
  for (const [name, [text, path]] of Object.entries(wrong)) {
    it(`for ${name} is told so and sent nowhere`, async () => {
      const harness = await RouterHarness.start();
      const { status, error } = await postText(harness, text);
      expect(status).toBe(400);
      expect(error).toMatchObject({ code: 'bad_request', mayHaveRun: false });
      expect(error.path).toBe(path);
      expect(harness.attempts).toHaveLength(0);
      expect((await harness.query()).status).toBe(200);
    });
  }

  it('for a service, a path or a method that does not exist is told so', async () => {
    const harness = await RouterHarness.start();
    const text = JSON.stringify(VALID_REQUEST);
    const unknown = await postText(harness, text, '/v1/services/no-such-service/query');
    expect(unknown).toMatchObject({ status: 404, error: { code: 'bad_request', path: 'service' } });
    expect((await postText(harness, text, '/v1/nowhere')).status).toBe(404);
    const { status, headers } = await harness.get(PATH);
    expect(status).toBe(405);
    expect(headers?.['allow']).toBe('POST');
  });

  it('adds no series to the counters, whatever service it names', async () => {
    const harness = await RouterHarness.start();
    const ask = (name: string): Promise<unknown> =>
      postText(harness, JSON.stringify(VALID_REQUEST), `/v1/services/${name}/query`);
    await ask('unknown-0');
    const before = await countMetricSeries(harness);
    for (let number = 1; number <= 50; number += 1) await ask(`unknown-${number}`);
    await ask('constructor');
    await ask('__proto__');
    expect(await countMetricSeries(harness)).toBe(before);
  });

  it('may be any bytes', async () => {
    const harness = await RouterHarness.start();
    const property = fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (bytes) => {
      const { status, error } = await postText(harness, bytes);
      expect(status).toBe(400);
      expect(error).toMatchObject({ code: 'bad_request', mayHaveRun: false });
    });
    await fc.assert(property, RUN);
    expect(harness.attempts).toHaveLength(0);
  });

  it('may have anything in any field; it is answered, or told which one is wrong', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
    const anything = fc.oneof(fc.jsonValue(), fc.double(), fc.constantFrom(1e-300, 1, 0.5, true));
    const request = fc.record(
      {
        requestId: fc.oneof(fc.uuid(), anything),
        query: fc.jsonValue(),
        deadlineMs: anything,
        repeatable: fc.oneof(fc.boolean(), anything),
        key: fc.oneof(fc.string(), anything),
        requiredCoverage: anything,
        team: fc.oneof(fc.string(), anything),
      },
      { requiredKeys: ['requestId', 'query'] },
    );
    const property = fc.asyncProperty(request, async (content) => {
      const sent = harness.attempts.length;
      const { status, error } = await postText(harness, JSON.stringify(content));
      expect([200, 400, 429, 503, 504]).toContain(status);
      if (status === 200) return;
      if (status === 504) {
        expect(error.mayHaveRun).toBe(true);
        expect(content.deadlineMs).toBeLessThan(SHORT_DEADLINE_MS);
        return;
      }
      expect(['bad_request', 'refused_not_run']).toContain(error.code);
      expect(error.mayHaveRun).toBe(false);
      expect(harness.attempts).toHaveLength(sent);
    });
    await fc.assert(property, RUN);
    expect((await harness.query()).status).toBe(200);
  });
});
