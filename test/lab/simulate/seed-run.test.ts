import { describe, expect, it } from 'vitest';
import { FAULT_KINDS } from '../../../lab/simulate/fault-kinds.js';
import type { SeedResult } from '../../../lab/simulate/seed-result.js';
import { SeedRun } from '../../../lab/simulate/seed-run.js';
import {
  DEFAULT_SIMULATE_OPTIONS,
  type SimulateOptions,
} from '../../../lab/simulate/simulate-options.js';

const SEEDS = Array.from({ length: 12 }, (_seed, index) => index + 1);
const SHORT = { ...DEFAULT_SIMULATE_OPTIONS, faults: FAULT_KINDS, minutes: 0.2, rate: 10 };

function run(seed: number, options: Partial<SimulateOptions> = {}): Promise<SeedResult> {
  return new SeedRun(seed, { ...SHORT, ...options }).run();
}

describe('a simulated fleet', () => {
  it.each(SEEDS)('keeps all promises and comes back, seed %i', async (seed) => {
    const deployment = seed % 2 === 0 ? 'pnw' : 'dohoku';
    const { violations, liveness, requests, changes } = await run(seed, { deployment });
    expect(violations).toEqual([]);
    expect(liveness).toEqual([]);
    expect(requests).toBeGreaterThan(100);
    expect(changes).toBeGreaterThan(0);
  });

  it('closes no connection under a request at a planned stop: seed 20 of drains', async () => {
    const { counts } = await run(20, { faults: ['drains'], minutes: 0.5, rate: 60 });
    expect(counts.cutInFlight).toBe(0);
  });

  it('gives one digest for a seed run twice, and another for another seed', async () => {
    const first = await run(1);
    const second = await run(1);
    expect(second.digest).toBe(first.digest);
    expect(second.timeline).toEqual(first.timeline);
    expect((await run(2)).digest).not.toBe(first.digest);
  });

  it('strikes with the named faults only', async () => {
    const { faults, timeline } = await run(3, { only: [2] });
    expect(faults).toEqual([2]);
    const struck = timeline.filter(({ text }) => /^fault \d+ \(\w+\):/.test(text));
    expect(struck.map(({ text }) => text.slice(0, 7))).toEqual(['fault 2']);
  });
});
