/** The charts of a report, as Vega-Lite specifications. */
import type { TopLevelSpec } from 'vega-lite';
import type { LatencyFigures } from '../bench/bench-figures.js';
import type { ComparedRun } from '../bench/comparison-table.js';

const CHART_WIDTH = 220;
const CHART_HEIGHT = 200;
const TIMELINE_WIDTH = 640;
const TIMELINE_HEIGHT = 120;
const SCHEMA = 'https://vega.github.io/schema/vega-lite/v5.json';
/** Stands beside the policy sets in the latency curves. */
const ORACLE = 'oracle';

const PERCENTILES: readonly (readonly [string, keyof LatencyFigures])[] = [
  ['p50', 'p50'],
  ['p90', 'p90'],
  ['p99', 'p99'],
  ['p99.9', 'p999'],
];

/** One chart and its heading. */
export interface ReportChart {
  readonly heading: string;
  readonly specification: TopLevelSpec;
}

function latencyRows(service: string, policy: string, latency: LatencyFigures): object[] {
  return PERCENTILES.map(([percentile, key]) => {
    return { service, policy, percentile, latency: latency[key] };
  });
}

function latencyChart(runs: readonly ComparedRun[]): ReportChart {
  const values = runs.flatMap(({ policy, figures }, index) =>
    Object.entries(figures.services).flatMap(([service, { latency, oracle }]) => [
      ...latencyRows(service, policy, latency),
      // The oracle depends on the trace only, so the first run gives it.
      ...(index === 0 ? latencyRows(service, ORACLE, oracle.latency) : []),
    ]),
  );
  const sort = PERCENTILES.map(([percentile]) => percentile);
  return {
    heading: 'Latency of answered requests',
    specification: {
      $schema: SCHEMA,
      data: { values },
      width: CHART_WIDTH,
      height: CHART_HEIGHT,
      mark: { type: 'line', point: true },
      encoding: {
        column: { field: 'service', type: 'nominal' },
        x: { field: 'percentile', type: 'ordinal', sort },
        y: { field: 'latency', type: 'quantitative', scale: { type: 'log' }, title: 'ms' },
        color: { field: 'policy', type: 'nominal' },
      },
    },
  };
}

function coverageChart(runs: readonly ComparedRun[]): ReportChart {
  const values = runs.flatMap(({ policy, figures }) =>
    Object.entries(figures.services).map(([service, { latency, coverage }]) => {
      return { service, policy, latency: latency.p99, coverage: coverage.mean };
    }),
  );
  return {
    heading: 'Mean coverage against p99',
    specification: {
      $schema: SCHEMA,
      data: { values },
      width: 2 * CHART_WIDTH,
      height: CHART_HEIGHT,
      mark: { type: 'point', filled: true, size: 80 },
      encoding: {
        x: { field: 'latency', type: 'quantitative', scale: { type: 'log' }, title: 'p99, ms' },
        y: { field: 'coverage', type: 'quantitative', scale: { zero: false }, title: 'coverage' },
        color: { field: 'policy', type: 'nominal' },
        shape: { field: 'service', type: 'nominal' },
      },
    },
  };
}

function loadChart(runs: readonly ComparedRun[]): ReportChart {
  const values = runs.flatMap(({ policy, figures }) =>
    figures.timeline.flatMap(({ second, answered, refused, failed }) => [
      { policy, second, outcome: 'answered', requests: answered },
      { policy, second, outcome: 'refused, not run', requests: refused },
      { policy, second, outcome: 'failed', requests: failed },
    ]),
  );
  return {
    heading: 'Load over time',
    specification: {
      $schema: SCHEMA,
      data: { values },
      width: TIMELINE_WIDTH,
      height: TIMELINE_HEIGHT,
      mark: { type: 'area' },
      encoding: {
        row: { field: 'policy', type: 'nominal' },
        x: { field: 'second', type: 'quantitative', title: 's' },
        y: { field: 'requests', type: 'quantitative', stack: 'zero', title: 'requests a second' },
        color: { field: 'outcome', type: 'nominal' },
      },
    },
  };
}

/** Every chart of a report on `runs` of one trace. */
export function reportCharts(runs: readonly ComparedRun[]): readonly ReportChart[] {
  return [latencyChart(runs), coverageChart(runs), loadChart(runs)];
}
