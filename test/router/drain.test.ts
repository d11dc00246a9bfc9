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

describe('a leaving replica', () => {
  for (const state of ['draining', 'gone'] as const) {
    it(`gets no new work after a sign that it is ${state}`, async () => {
      const harness = await RouterHarness.start({ shards: 1 });
      publishSign(harness, state);
      await queryMany(harness);
      expect(harness.backend('s0-r0').attempts).toHaveLength(0);
    });
  }

  it('is noticed by its report within a second, and told to others', async () => {
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

  it('is noticed by the first reply that says so', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
    const backend = harness.backend('s0-r0');
    backend.draining = true;
    await queryMany(harness, 3);
    expect(backend.attempts).toHaveLength(1);
    expect(harness.source.reported).toHaveLength(1);
  });

  it('is not revived by reports or signs of the same incarnation', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    publishSign(harness, 'draining');
    publishSign(harness, 'live');
    await harness.clock.advance(5_000);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts).toHaveLength(0);
  });

  it('is revived by a new incarnation, and by no sign of the former one', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    publishSign(harness, 'gone');
    harness.backend('s0-r0').incarnation = 2;
    await harness.clock.advance(1_000);
    publishSign(harness, 'draining', 1);
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts.length).toBeGreaterThan(0);
  });

  it('is remembered before the configuration names it', async () => {
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

  it('is seen to get work when signs are ignored', async () => {
    const harness = await RouterHarness.start({ shards: 1, faults: { ignoreDrain: true } });
    publishSign(harness, 'draining');
    await queryMany(harness);
    expect(harness.backend('s0-r0').attempts.length).toBeGreaterThan(0);
  });
});

describe('a replica whose reports do not arrive', () => {
  it('keeps its work after one that was missed, and is a last resort after several', async () => {
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
