/** A quantity over a size, with the line through what was read. */
import { fitLine, type LinearFit } from '../measure/linear-fit.js';

/** One line. */
export interface Slope {
  readonly quantity: string;
  /** Of the quantity. */
  readonly unit: string;
  /** What the quantity was read over. */
  readonly over: string;
  readonly fit: LinearFit;
}

/** How to draw one line from readings. */
export interface SlopeDefinition<Reading> {
  readonly quantity: string;
  readonly unit: string;
  readonly read: (reading: Reading) => number;
}

/** Draws all lines over one size. */
export function fitSlopes<Reading>(
  readings: readonly Reading[],
  over: string,
  sizeOf: (reading: Reading) => number,
  definitions: readonly SlopeDefinition<Reading>[],
): Slope[] {
  return definitions.map(({ quantity, unit, read }) => ({
    quantity,
    unit,
    over,
    fit: fitLine(readings.map((reading) => ({ x: sizeOf(reading), y: read(reading) }))),
  }));
}
