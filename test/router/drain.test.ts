import { describe, expect, it } from 'vitest';
import type { ReplicaState } from '../../src/model/liveness-report.js';
import { RouterHarness } from './support/router-harness.js';

const OBSERVER = 'platform';

async function queryMany(harness: RouterHarness, count = 8): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await harness.query({ requestId: `request-${index}` });
  }
}

function publishLivenessReport(harness: RouterHarness, state: ReplicaState, incarnation = 1): void {
  harness.source.publishLivenessReport({
    replicaId: 's0-r0',
    incarnation,
    state,
    observedBy: OBSERVER,
  });
}

describe('a draining or gone replica', () => {
  for (const state of ['draining', 'gone'] as const) {
    it(`gets no new attempt after a liveness report that it is ${state}`, async () => {
      const harness = await RouterHarness.start({ shards: 1 });
      publishLivenessReport(harness, state);
      await queryMany(harness);
      expect(harness.backend('s0-r0').attempts).toHaveLength(0);
    });
  }

  it('is detected by its own report within a second, and a liveness report goes to the source', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    const backend = harness.backend('s0-r0');
    backend.draining = true;
    await harness.clock.advance(1_000);
    await queryMany(harness);
    expect(backend.attempts).toHaveLength(0);
    expect(harness.source.reported).toEqual([
      { replicaId: 's0-r0', incarnation: 1, state: 'draining', observedBy: 'router-1' },
    ]);
  });

  it('is detected by the first reply that says that it drains', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
    const backend = harness.backend('s0-r0');
    backend.draining = true;
    await queryMany(harness, 3);
    expect(backend.attempts).toHaveLength(1);
    expect(harness.source.reported).toHaveLength(1);
  });

  it('gets no attempt again after its own reports or liveness reports that the same incarnation is live', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    publishLivenessReport(harness, 'draining');
    publishLivenessReport(harness, 'live');
    await harness.clock.advance(5_000);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts).toHaveLength(0);
  });

  it('gets attempts again with a new incarnation, despite later liveness reports on the former one', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    publishLivenessReport(harness, 'gone');
    harness.backend('s0-r0').incarnation = 2;
    await harness.clock.advance(1_000);
    publishLivenessReport(harness, 'draining', 1);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts.length).toBeGreaterThan(0);
  });

  it('gets no attempt when its liveness report came before the configuration that names it', async () => {
    const harness = await RouterHarness.start({ shards: 1, withoutConfiguration: true });
    publishLivenessReport(harness, 'draining');
    const other = await RouterHarness.start({ shards: 1 });
    const state = other.source.current();
    if (state !== undefined) harness.source.publish(state);
    await harness.clock.advance(1_000);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts).toHaveLength(0);
    expect(harness.backend('s0-r1').attempts.length).toBeGreaterThan(0);
  });

  it('gets attempts under the fault that ignores liveness reports', async () => {
    const harness = await RouterHarness.start({ shards: 1, faults: { ignoreDrain: true } });
    publishLivenessReport(harness, 'draining');
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts.length).toBeGreaterThan(0);
  });
});

describe('a replica whose reports are lost', () => {
  it('still gets attempts after one missed report, and is a last resort after several', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    const backend = harness.backend('s0-r0');
    backend.dropsReports = true;
    await harness.clock.advance(1_700);
    await queryMany(harness);
    const early = backend.attempts.length;
    expect(early).toBeGreaterThan(0);
    await harness.clock.advance(5_000);
    await queryMany(harness);
    expect(backend.attempts).toHaveLength(early);
    harness.backend('s0-r1').down = true;
    await queryMany(harness);
    expect(backend.attempts.length).toBeGreaterThan(early);
    backend.dropsReports = false;
  });
});
