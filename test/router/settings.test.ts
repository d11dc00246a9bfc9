import { describe, expect, it } from 'vitest';
import { createState, RouterHarness } from './support/router-harness.js';

describe('the settings of a router', () => {
  it('are missing before the first configuration: the router is not ready and refuses queries', async () => {
    const harness = await RouterHarness.start({ withoutConfiguration: true });
    expect((await harness.get('/readyz')).status).toBe(503);
    const { status, error } = await harness.query();
    expect(status).toBe(503);
    expect(error).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    harness.source.publish(createState(3, {}));
    await harness.clock.advance(50);
    expect((await harness.get('/readyz')).status).toBe(200);
    expect((await harness.query()).answer.settingsRevision).toBe(3);
  });

  it('never go back to an earlier revision', async () => {
    const harness = await RouterHarness.start();
    harness.source.publish(createState(5, { settings: { requiredCoverage: 0.5 } }));
    harness.source.publish(createState(4, { settings: { requiredCoverage: 0.25 } }));
    const { answer } = await harness.query();
    expect(answer.settingsRevision).toBe(5);
    expect(answer.coverage.required).toBe(0.5);
  });

  it('stay, for a query in flight, those of the revision at its receipt', async () => {
    const harness = await RouterHarness.start({ shards: 2 });
    for (const backend of harness.backends.values()) backend.latency = 100;
    const query = harness.send({});
    await harness.clock.advance(10);
    harness.source.publish(createState(2, { settings: { requiredCoverage: 0.5 } }));
    const { answer } = await harness.clock.runUntil(query);
    expect(answer.settingsRevision).toBe(1);
    expect(answer.coverage.required).toBe(1);
  });

  it('refuse or serve queries while stale, as the service is configured', async () => {
    const refusing = await RouterHarness.start({ settings: { staleSettings: 'refuse' } });
    const serving = await RouterHarness.start({ settings: { staleSettings: 'serve' } });
    for (const harness of [refusing, serving]) harness.source.fresh = false;
    expect((await refusing.query()).error.code).toBe('refused_not_run');
    expect(refusing.attempts).toHaveLength(0);
    expect((await serving.query()).answer.settingsStale).toBe(true);
    for (const harness of [refusing, serving]) harness.source.fresh = true;
    for (const harness of [refusing, serving]) {
      const { status, answer } = await harness.query();
      expect(status).toBe(200);
      expect(answer).not.toHaveProperty('settingsStale');
    }
  });
});
