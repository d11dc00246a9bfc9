/** What came of the requests of each second of a run. */
import type { BenchRecord } from './bench-record.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests scheduled within one second. */
export interface TimelinePoint {
  /** Since the start of the run. */
  readonly second: number;
  readonly answered: number;
  /** Refused as not run. */
  readonly refused: number;
  readonly failed: number;
}

/** One point for each second of `duration` milliseconds. */
export function timelineOf(record: BenchRecord, duration: number): TimelinePoint[] {
  const length = Math.ceil(duration / MILLISECONDS_PER_SECOND);
  const points = Array.from({ length }, (_, second) => {
    return { second, answered: 0, refused: 0, failed: 0 };
  });
  for (const { scheduledAt, entry } of record.requests) {
    const point = points[Math.floor(scheduledAt / MILLISECONDS_PER_SECOND)];
    if (point === undefined) continue;
    if (entry.outcome === 'answered') point.answered += 1;
    else if (entry.outcome === 'refused_not_run') point.refused += 1;
    else point.failed += 1;
  }
  return points;
}
