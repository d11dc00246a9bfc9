/** A run of stand-in callers as a table for people. */
import { formatTable } from '../../src/operator/format-table.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { summarizeByService, type LoadSummary } from './load-summary.js';

const HEADER = [
  'service',
  'requests',
  'answered',
  'refused',
  'other',
  'coverage',
  'p50 ms',
  'p99 ms',
  'hedges',
  'retries',
];

function formatCoverage(fraction: number | undefined): string {
  return fraction === undefined ? '-' : `${(fraction * 100).toFixed(1)} %`;
}

function formatRow(service: string, summary: LoadSummary): string[] {
  const { requests, outcomes, latency, meanCoverage, attempts } = summary;
  const answered = outcomes.answered ?? 0;
  const refused = outcomes.refused_not_run ?? 0;
  return [
    service,
    String(requests),
    String(answered),
    String(refused),
    String(requests - answered - refused),
    formatCoverage(meanCoverage),
    latency.p50.toFixed(1),
    latency.p99.toFixed(1),
    String(attempts.hedges),
    String(attempts.retries),
  ];
}

/** One row for each service. Coverage is the mean over the answers. */
export function formatLoadTable(entries: readonly CallerLedgerEntry[]): string {
  const rows = [...summarizeByService(entries)].map(([service, summary]) =>
    formatRow(service, summary),
  );
  return formatTable(HEADER, rows);
}
