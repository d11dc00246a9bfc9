import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { BenchRun } from '../../../lab/bench/bench-run.js';
import { loadTrace } from '../../../lab/bench/load-trace.js';
import { policySet } from '../../../lab/bench/policy-sets.js';
import { checkOutcomes } from '../../../lab/bench/stated-outcome.js';
import { NO_ROUTER_FAULTS, type RouterFaults } from '../../../src/router/router-faults.js';
import type { BenchFigures } from '../../../lab/bench/bench-figures.js';

const TRACES = 'lab/traces';
const SMALL_TRACES = join(TRACES, 'ci');

async function replay(
  file: string,
  policy: string,
  seed: number,
  faults: RouterFaults = NO_ROUTER_FAULTS,
): Promise<BenchFigures> {
  const trace = await loadTrace(join(SMALL_TRACES, file));
  return new BenchRun({ trace, policies: policySet(policy), seed, faults }).run();
}

function brokenPromises({ violations }: BenchFigures): string[] {
  return Object.entries(violations)
    .filter(([, count]) => count > 0)
    .map(([kind]) => kind);
}

describe('trace replay', async () => {
  const smallTraces = await readdir(SMALL_TRACES);

  it.each(smallTraces)('%s comes out as stated', async (file) => {
    const trace = await loadTrace(join(SMALL_TRACES, file));
    const policies = [...new Set(trace.outcomes.map(({ policy }) => policy))];
    expect(policies).not.toEqual([]);
    for (const policy of policies) {
      const figures = await replay(file, policy, 1);
      const missed = checkOutcomes(trace.outcomes, policy, figures).filter(({ holds }) => !holds);
      expect(missed).toEqual([]);
      expect(brokenPromises(figures)).toEqual([]);
    }
  });

  it('gives the same bytes for the same seed and others for another', async () => {
    const first = JSON.stringify(await replay('dohoku-lost-replica.yaml', 'baseline', 7));
    const second = JSON.stringify(await replay('dohoku-lost-replica.yaml', 'baseline', 7));
    const other = await replay('dohoku-lost-replica.yaml', 'baseline', 8);
    expect(second).toBe(first);
    expect(other.digest).not.toBe((JSON.parse(first) as BenchFigures).digest);
  });

  it('counts what a router that breaks a promise does', async () => {
    const faults = { ...NO_ROUTER_FAULTS, mergeAcrossSnapshots: true };
    const figures = await replay('dohoku-publish.yaml', 'baseline', 1, faults);
    // A shard asked at another snapshot was also not reached at the one stated.
    expect(brokenPromises(figures)).toEqual(['mixedSnapshot', 'falseCoverage']);
  });

  it('never beats the oracle', async () => {
    const { services } = await replay('dohoku-stragglers.yaml', 'baseline', 3);
    for (const { latency, oracle } of Object.values(services)) {
      expect(latency.p50).toBeGreaterThanOrEqual(oracle.latency.p50);
      expect(latency.p999).toBeGreaterThanOrEqual(oracle.latency.p999);
    }
  });
});

describe('traces', async () => {
  const files = (await readdir(TRACES)).filter((file) => file.endsWith('.yaml'));

  it.each(files)('%s is valid and states outcomes', async (file) => {
    const trace = await loadTrace(join(TRACES, file));
    expect(trace.outcomes).not.toEqual([]);
  });
});
