/** What a bench run measured. Latencies in milliseconds. */
import type { Histogram } from 'hdr-histogram-js';
import type { TimelinePoint } from './timeline.js';
import type { ViolationCounts } from '../auditor/violation.js';

/** Quantiles of a latency distribution. */
export interface LatencyFigures {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
}

/** Coverage over all requests; one without an answer counts as 0. */
export interface CoverageFigures {
  readonly mean: number;
  readonly shareBelowRequired: number;
  /** Share of requests answered from every shard. */
  readonly fullShare: number;
}

/** Load on back ends beyond what the requests needed. */
export interface ExtraLoadFigures {
  /** Attempts that reached a back end, per shard asked, minus 1. */
  readonly attempts: number;
  /** Time that back ends worked on replies that are in no answer. Milliseconds. */
  readonly wastedMs: number;
  /** {@link wastedMs} as a share of all time worked. */
  readonly wastedShare: number;
}

/** The best that any choice of replicas could have given on the same reply times. */
export interface OracleFigures {
  readonly latency: LatencyFigures;
  /** Share of requests whose every shard had a replica that could reply in time. */
  readonly fullShare: number;
  /** Share of requests whose required coverage could be had in time. */
  readonly answerableShare: number;
}

/** Figures of one service, or of all together. */
export interface ServiceFigures {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  /** Neither answered nor refused as not run. */
  readonly failed: number;
  /** Of answered requests, from the scheduled time. */
  readonly latency: LatencyFigures;
  readonly coverage: CoverageFigures;
  readonly extraLoad: ExtraLoadFigures;
  readonly oracle: OracleFigures;
  /** Answers per second as a share of what the slots can do. */
  readonly goodputToCapacity: number;
}

/** Figures of the requests scheduled within one period. */
export interface PeriodFigures {
  readonly all: ServiceFigures;
  readonly services: Readonly<Record<string, ServiceFigures>>;
  /** Of each team's requests; goodput is compared to all services asked. */
  readonly teams: Readonly<Record<string, ServiceFigures>>;
}

/** Figures of a run, of all its counted requests and of the named phases of its trace. */
export interface BenchFigures extends PeriodFigures {
  readonly phases: Readonly<Record<string, PeriodFigures>>;
  readonly timeline: readonly TimelinePoint[];
  /** What the auditor found, over the whole run. */
  readonly violations: ViolationCounts;
  /** Equal digests mean equal runs. */
  readonly digest: string;
}

/** Histograms count microseconds, so that three digits hold below a millisecond too. */
export const HISTOGRAM_UNITS_PER_MS = 1_000;

/** Reads the quantiles off a histogram of {@link HISTOGRAM_UNITS_PER_MS}. */
export function latencyFigures(histogram: Histogram): LatencyFigures {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
  return { p50: at(50), p90: at(90), p99: at(99), p999: at(99.9) };
}
