/** Ordinary least squares for one explaining variable. */

/** One observation. */
export interface FitPoint {
  readonly x: number;
  readonly y: number;
}

/** y = intercept + slope * x, with how far the observations lie from it. */
export interface LinearFit {
  readonly points: readonly FitPoint[];
  readonly intercept: number;
  readonly slope: number;
  /** Standard error of the slope; NaN with fewer than three points. */
  readonly slopeError: number;
  /** Standard error of the intercept; NaN with fewer than three points. */
  readonly interceptError: number;
  /** y minus the fitted value, in the order of the points. */
  readonly residuals: readonly number[];
  /** Share of the variance of y that the line explains, 0 to 1. */
  readonly determination: number;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Fits a line.
 *
 * @throws RangeError unless there are at least two different values of x.
 */
export function fitLine(points: readonly FitPoint[]): LinearFit {
  const count = points.length;
  const meanX = sum(points.map(({ x }) => x)) / count;
  const meanY = sum(points.map(({ y }) => y)) / count;
  const squaresX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (!(squaresX > 0)) throw new RangeError('a line needs two different values of x');
  const products = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = products / squaresX;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) => y - (intercept + slope * x));
  const squaresLeft = sum(residuals.map((residual) => residual ** 2));
  const squaresY = sum(points.map(({ y }) => (y - meanY) ** 2));
  const variance = count > 2 ? squaresLeft / (count - 2) : Number.NaN;
  return {
    points,
    intercept,
    slope,
    slopeError: Math.sqrt(variance / squaresX),
    interceptError: Math.sqrt(variance * (1 / count + meanX ** 2 / squaresX)),
    residuals,
    determination: squaresY > 0 ? 1 - squaresLeft / squaresY : 1,
  };
}

/** The fitted value at `x`. */
export function predict(fit: LinearFit, x: number): number {
  return fit.intercept + fit.slope * x;
}

/** Standard error of the fitted line at `x`; grows with the distance from the points. */
export function predictionError(fit: LinearFit, x: number): number {
  const count = fit.points.length;
  const meanX = sum(fit.points.map((point) => point.x)) / count;
  const interceptAtMean = fit.interceptError ** 2 - (meanX * fit.slopeError) ** 2;
  return Math.sqrt(Math.max(0, interceptAtMean) + ((x - meanX) * fit.slopeError) ** 2);
}
