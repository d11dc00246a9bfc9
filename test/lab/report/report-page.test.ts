import { describe, expect, it } from 'vitest';
import { BenchRun } from '../../../lab/bench/bench-run.js';
import { loadTrace } from '../../../lab/bench/load-trace.js';
import { policySet } from '../../../lab/bench/policy-sets.js';
import { reportPage } from '../../../lab/report/report-page.js';

describe('the report page', () => {
  it('draws every chart with the figures of every policy set', async () => {
    const trace = await loadTrace('lab/traces/ci/dohoku-publish.yaml');
    const figures = await new BenchRun({ trace, policies: policySet('baseline'), seed: 1 }).run();
    const runs = ['first', 'second'].map((policy) => ({ policy, figures }));
    const subject = { trace: trace.name, description: 'a < b & c', seed: 1 };
    const page = await reportPage(subject, runs);
    expect(page.match(/<svg/g)).toHaveLength(3);
    expect(page).toContain('a &lt; b &amp; c');
    const p99 = figures.services['kifu-audit']?.latency.p99 ?? NaN;
    expect(page).toContain(p99.toFixed(1));
    for (const name of ['first', 'second', 'oracle', 'kifu-audit', 'refused, not run']) {
      expect(page).toContain(name);
    }
  });

  it('counts every request of the run once in its timeline', async () => {
    const trace = await loadTrace('lab/traces/ci/dohoku-publish.yaml');
    const { timeline, all } = await new BenchRun({ trace, policies: {}, seed: 1 }).run();
    const counted = timeline.filter(({ second }) => second * 1_000 >= trace.warmupMs);
    const sum = counted.reduce(
      (total, each) => total + each.answered + each.refused + each.failed,
      0,
    );
    expect(sum).toBe(all.requests);
    expect(sum).toBeGreaterThan(0);
  });
});
