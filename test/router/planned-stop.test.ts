import { describe, expect, it } from 'vitest';
import { RouterHarness, type HarnessOptions, type Reply } from './support/router-harness.js';

async function startWithSlowQuery(faults = {}) {
  const harness = await RouterHarness.start({ shards: 2, faults });
  for (const backend of harness.backends.values()) backend.latency = 600;
  const inFlight = harness.send({ deadlineMs: 2_000 });
  await harness.clock.advance(10);
  return { harness, inFlight };
}

describe('a planned stop', () => {
  it('answers what is in flight, in full, before it resolves', async () => {
    const { harness, inFlight } = await startWithSlowQuery();
    let answered = false;
    void inFlight.then(() => (answered = true));
    await harness.clock.runUntil(harness.daemon.stop());
    expect(answered).toBe(true);
    const reply = await inFlight;
    expect(reply.status).toBe(200);
    expect(reply.answer.coverage.fraction).toBe(1);
    expect(harness.network.listening).toBe(false);
  });

  it('is seen to cut queries off when it does not wait', async () => {
    const { harness, inFlight } = await startWithSlowQuery({ cutInFlightAtStop: true });
    await harness.clock.runUntil(harness.daemon.stop());
    expect((await inFlight).status).not.toBe(200);
  });

  it('takes no new work, says when to come back, and lets connections go', async () => {
    const { harness, inFlight } = await startWithSlowQuery();
    const stopped = harness.daemon.stop();
    expect((await harness.get('/readyz')).status).toBe(503);
    expect((await harness.get('/livez')).status).toBe(200);
    const before = harness.attempts.length;
    const { status, headers, error } = await harness.query({ requestId: 'request-2' });
    expect(status).toBe(503);
    expect(error).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    expect(headers).toMatchObject({ 'retry-after': '1', connection: 'close' });
    expect(harness.attempts).toHaveLength(before);
    await harness.clock.runUntil(Promise.all([stopped, inFlight]));
  });

  it('waits for a not repeatable request whose caller is gone', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    for (const backend of harness.backends.values()) backend.latency = 600;
    const gone = new AbortController();
    const query = harness.send({ repeatable: false }, gone.signal);
    await harness.clock.advance(10);
    gone.abort();
    await harness.clock.runUntil(harness.daemon.stop());
    expect((await query).status).toBe(200);
  });

  /** Ways to be in the middle of something; each leaves `send` unanswered for a while. */
  const phases: Readonly<Record<string, [HarnessOptions, (harness: RouterHarness) => void]>> = {
    // The adaptive policy refuses a wait as long as the latency of this test.
    'waiting to be admitted': [
      { settings: { admission: 'bounded', maximumInFlight: 1 } },
      (harness) => harness.send({}),
    ],
    'waiting for a connection': [{ connections: 16, replicas: 1 }, (harness) => harness.send({})],
    'tried a second time': [
      {},
      (harness) => {
        for (const backend of harness.backends.values()) {
          backend.tamper = (draft) => {
            if (backend.attempts.length === 1) draft.disposition = 'failed';
          };
        }
      },
    ],
    'planned a second time': [
      {},
      (harness) => {
        for (const replica of ['s1-r0', 's1-r1']) harness.backend(replica).snapshots = ['1.1'];
      },
    ],
    'joined by its resend': [
      {},
      (harness) => harness.send({ requestId: 'request-2', repeatable: false }),
    ],
  };
  for (const [phase, [options, prepare]] of Object.entries(phases)) {
    const start = async (faults = {}): Promise<[RouterHarness, Promise<Reply>]> => {
      const settings = { retryBudgetPercent: 100, ...options.settings };
      const harness = await RouterHarness.start({ shards: 2, ...options, settings, faults });
      for (const backend of harness.backends.values()) {
        backend.latency = 600;
        backend.snapshots = ['1.1', '1.2'];
      }
      await harness.clock.advance(1_000);
      prepare(harness);
      const repeatable = phase !== 'joined by its resend';
      const query = harness.send({ requestId: 'request-2', deadlineMs: 5_000, repeatable });
      await harness.clock.advance(50);
      return [harness, query];
    };

    it(`answers a query that is ${phase}`, async () => {
      const [harness, query] = await start();
      let answered = false;
      void query.then(() => (answered = true));
      await harness.clock.runUntil(harness.daemon.stop());
      expect(answered).toBe(true);
      expect((await query).status).toBe(200);
    });

    it(`is seen to cut off a query that is ${phase} when it does not wait`, async () => {
      const [harness, query] = await start({ cutInFlightAtStop: true });
      await harness.clock.runUntil(harness.daemon.stop());
      expect((await query).status).not.toBe(200);
    });
  }

  it('ends all polls', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    await harness.clock.runUntil(harness.daemon.stop());
    expect(harness.clock.pendingTimers).toBe(0);
  });
});
