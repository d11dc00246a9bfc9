import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { divideMemory } from '../../src/node/memory-budgets.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import type { HttpListener, HttpListenOptions } from '../../src/seams/http.js';
import { GET, errorOf, post } from './support/listener-fixture.js';
import { RawCaller, type RawResponse } from './support/raw-caller.js';

/** An eighth of it is for requests. */
const MEMORY_LIMIT_BYTES = 2 * 1024 * 1024;
const CALLERS = 32;
/** Sent of each body before its caller falls silent; all of them together are four times the budget. */
const PART_BYTES = 32 * 1024;
const UNFINISHED = post('z'.repeat(PART_BYTES), 2 * PART_BYTES);
/** Its own bound is far over what the process has for requests. */
const OPTIONS: HttpListenOptions = {
  maximumBodyBytes: 1024 * 1024,
  maximumHeaderBytes: 2_048,
  requestTimeout: 60_000,
  maximumConnections: 100,
  maximumBufferedBytes: 64 * 1024 * 1024,
};
/** The system's buffers take less of it. */
const LARGE_ANSWER = Buffer.alloc(16 * 1024 * 1024);

let network: NodeNetwork;
let listener: HttpListener;
let handled: number;
const callers: RawCaller[] = [];

beforeEach(async () => {
  handled = 0;
  network = new NodeNetwork(divideMemory(MEMORY_LIMIT_BYTES));
  listener = await network.listenHttp({ host: '127.0.0.1', port: 0 }, OPTIONS, async ({ path }) => {
    handled += 1;
    return { status: 200, body: path === '/large' ? LARGE_ANSWER : 'ok' };
  });
});

afterEach(async () => {
  for (const caller of callers.splice(0)) caller.close();
  await listener.close();
});

async function call(bytes: string): Promise<RawCaller> {
  const caller = await RawCaller.open(listener.address);
  callers.push(caller);
  caller.send(bytes);
  return caller;
}

/** Resolves with the responses once so many callers were refused that the bodies of the others fit. */
async function refuseMost(): Promise<readonly RawResponse[]> {
  const kept = Math.floor(network.budgets.requests.limit / PART_BYTES);
  const responses: RawResponse[] = [];
  const opened = await Promise.all(Array.from({ length: CALLERS }, () => call(UNFINISHED)));
  await new Promise<void>((resolve) => {
    for (const caller of opened) {
      void caller.next().then((response) => {
        if (response !== undefined) responses.push(response);
        if (responses.length === CALLERS - kept) resolve();
      });
    }
  });
  return responses;
}

describe('bodies that many callers leave unfinished', () => {
  // Guards against a bound for each listener that is over what the process may use.
  it('hold no more than the budget together, and are refused as not run', async () => {
    const refused = await refuseMost();
    for (const response of refused) {
      expect(response.status).toBe(503);
      expect(errorOf(response)).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    }
    const { heldBytes, limit } = network.budgets.requests;
    expect(heldBytes).toBeGreaterThan(0);
    expect(heldBytes).toBeLessThanOrEqual(limit);
    expect(handled).toBe(0);
  });

  // Guards against refusing a newcomer for bodies that never end.
  it('make room for a small one', async () => {
    await refuseMost();
    expect((await (await call(post('x'.repeat(2_000)))).next())?.status).toBe(200);
  });
});

describe('answers that many callers do not take', () => {
  // Guards against a caller for each answer that doesn't read: the system takes little of one, the process holds the rest.
  it('hold no more than the budget and one answer together', async () => {
    const opened: RawCaller[] = [];
    for (let count = 0; count < 4; count += 1) {
      const caller = await RawCaller.open(listener.address);
      callers.push(caller);
      caller.socket.pause();
      opened.push(caller);
      caller.send(GET.replace(' / ', ' /large '));
      while (handled <= count) await new Promise((resolve) => setImmediate(resolve));
    }
    const { limit } = network.budgets.requests;
    expect(network.budgets.requests.heldBytes).toBeLessThanOrEqual(limit + LARGE_ANSWER.length);
    for (const { socket } of opened) socket.resume();
    expect(await opened[0]?.next()).toBeUndefined();
    expect((await opened[3]?.next())?.status).toBe(200);
  });
});
