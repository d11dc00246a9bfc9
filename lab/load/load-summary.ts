/** Figures of a run of stand-in callers. */
import { build } from 'hdr-histogram-js';
import type { CallerLedgerEntry, CallerOutcome } from '../ledger/caller-ledger-entry.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_TRACKABLE_MICROSECONDS = 3_600_000_000;

/** Latencies of answered requests, from the scheduled time. Milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** What a run came to, for one service or for all. */
export interface LoadSummary {
  readonly requests: number;
  readonly outcomes: Readonly<Partial<Record<CallerOutcome, number>>>;
  readonly latency: LatencySummary;
  /** Mean coverage fraction of the answers; undefined without answers. */
  readonly meanCoverage: number | undefined;
  /** Answers that reached every shard. */
  readonly complete: number;
  /** Attempts the answered requests cost, in total. */
  readonly attempts: {
    readonly primary: number;
    readonly hedges: number;
    readonly retries: number;
  };
}

function summarizeLatency(entries: readonly CallerLedgerEntry[]): LatencySummary {
  const histogram = build({
    highestTrackableValue: HIGHEST_TRACKABLE_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  for (const { latencyMs } of entries) {
    histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MILLISECOND));
  }
  const quantile = (percent: number): number =>
    histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND;
  return {
    count: entries.length,
    mean: histogram.mean / MICROSECONDS_PER_MILLISECOND,
    p50: quantile(50),
    p90: quantile(90),
    p99: quantile(99),
    p999: quantile(99.9),
    max: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Sums up ledger entries. */
export function summarizeLoad(entries: readonly CallerLedgerEntry[]): LoadSummary {
  const outcomes: Partial<Record<CallerOutcome, number>> = {};
  for (const { outcome } of entries) outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  const answered = entries.filter(({ answer }) => answer !== undefined);
  const answers = answered.flatMap(({ answer }) => (answer === undefined ? [] : [answer]));
  const fractions = answers.map(({ coverage }) => coverage.fraction);
  return {
    requests: entries.length,
    outcomes,
    latency: summarizeLatency(answered),
    meanCoverage: fractions.length === 0 ? undefined : sum(fractions) / fractions.length,
    complete: answers.filter(({ coverage }) => coverage.missing.length === 0).length,
    attempts: {
      primary: sum(answers.map(({ attempts }) => attempts.primary)),
      hedges: sum(answers.map(({ attempts }) => attempts.hedges)),
      retries: sum(answers.map(({ attempts }) => attempts.retries)),
    },
  };
}

/** Sums up ledger entries service by service. */
export function summarizeByService(
  entries: readonly CallerLedgerEntry[],
): ReadonlyMap<string, LoadSummary> {
  const services = [...new Set(entries.map(({ service }) => service))].sort();
  return new Map(
    services.map((service) => [
      service,
      summarizeLoad(entries.filter((entry) => entry.service === service)),
    ]),
  );
}
