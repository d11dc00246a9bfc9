/** Lays the figures of several policy sets side by side. */
import type { BenchFigures, ServiceFigures } from './bench-figures.js';

/** A policy set and what it gave. */
export interface ComparedRun {
  readonly policy: string;
  readonly figures: BenchFigures;
}

const HEADER = [
  'service',
  'policy',
  'requests',
  'answered',
  'refused',
  'p50',
  'p90',
  'p99',
  'p99.9',
  'p99/oracle',
  'coverage',
  'below',
  'extra %',
  'wasted %',
];

function percent(share: number): string {
  return (share * 100).toFixed(2);
}

function rowOf(service: string, policy: string, figures: ServiceFigures): string[] {
  const { latency, coverage, extraLoad, oracle } = figures;
  const latencies = [latency.p50, latency.p90, latency.p99, latency.p999];
  return [
    service,
    policy,
    String(figures.requests),
    String(figures.answered),
    String(figures.refused),
    ...latencies.map((value) => value.toFixed(1)),
    (latency.p99 / oracle.latency.p99).toFixed(2),
    coverage.mean.toFixed(5),
    percent(coverage.shareBelowRequired),
    percent(extraLoad.attempts),
    percent(extraLoad.wastedShare),
  ];
}

/** A Markdown table: one row a service and policy set; latencies in milliseconds. */
export function comparisonTable(runs: readonly ComparedRun[]): string {
  const services = Object.keys(runs[0]?.figures.services ?? {});
  const rows = services.flatMap((service) =>
    runs.flatMap(({ policy, figures }) => {
      const own = figures.services[service];
      return own === undefined ? [] : [rowOf(service, policy, own)];
    }),
  );
  const table = [HEADER, ...rows];
  const widths = HEADER.map((_, column) =>
    Math.max(...table.map((row) => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]): string =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`;
  const rule = line(widths.map((width) => '-'.repeat(width)));
  return [line(HEADER), rule, ...rows.map(line)].join('\n');
}
