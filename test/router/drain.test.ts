import { describe, expect, it } from 'vitest';
import type { ReplicaState } from '../../src/model/liveness-report.js';
import { RouterHarness } from './support/router-harness.js';

const OBSERVER = 'platform';

async function queryMany(harness: RouterHarness, count = 8): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await harness.query({ requestId: `request-${index}` });
  }
}

function publishSign(harness: RouterHarness, state: ReplicaState, incarnation = 1): void {
  harness.source.publishSign({ replicaId: 's0-r0', incarnation, state, observedBy: OBSERVER });
}

describe('a draining or gone replica', () => {
  for (const state of ['draining', 'gone'] as const) {
    it(`gets no new attempt after a sign that it is ${state}`, async () => {
      const harness = await RouterHarness.start({ shards: 1 });
      publishSign(harness, state);
      await queryMany(harness);
      expect(harness.backend('s0-r0').attempts).toHaveLength(0);
    });
  }

  it('is detected by its report within a second, and the sign is reported to the source', async () => {
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

  it('gets no attempt again after reports or live signs of the same incarnation', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    publishSign(harness, 'draining');
    publishSign(harness, 'live');
    await harness.clock.advance(5_000);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts).toHaveLength(0);
  });

  it('gets attempts again with a new incarnation, despite later signs of the former one', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    publishSign(harness, 'gone');
    harness.backend('s0-r0').incarnation = 2;
    await harness.clock.advance(1_000);
    publishSign(harness, 'draining', 1);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts.length).toBeGreaterThan(0);
  });

  it('gets no attempt when its sign came before the configuration that names it', async () => {
    const harness = await RouterHarness.start({ shards: 1, withoutConfiguration: true });
    publishSign(harness, 'draining');
    const other = await RouterHarness.start({ shards: 1 });
    const state = other.source.current();
    if (state !== undefined) harness.source.publish(state);
    await harness.clock.advance(1_000);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts).toHaveLength(0);
    expect(harness.backend('s0-r1').attempts.length).toBeGreaterThan(0);
  });

  it('gets attempts under the fault that ignores signs', async () => {
    const harness = await RouterHarness.start({ shards: 1, faults: { ignoreDrain: true } });
    publishSign(harness, 'draining');
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
