/** What a series of repeated readings amounts to. */

/** Readings of one quantity, summed up. Same unit as the readings. */
export interface Spread {
  readonly count: number;
  readonly minimum: number;
  readonly median: number;
  readonly maximum: number;
}

/** The value below which `share` (0 to 1) of the readings lie; NaN without readings. */
export function quantile(readings: readonly number[], share: number): number {
  const sorted = [...readings].sort((left, right) => left - right);
  const position = share * (sorted.length - 1);
  const lower = sorted[Math.floor(position)] ?? Number.NaN;
  const upper = sorted[Math.ceil(position)] ?? Number.NaN;
  return lower + (upper - lower) * (position - Math.floor(position));
}

export function summarize(readings: readonly number[]): Spread {
  return {
    count: readings.length,
    minimum: quantile(readings, 0),
    median: quantile(readings, 0.5),
    maximum: quantile(readings, 1),
  };
}
