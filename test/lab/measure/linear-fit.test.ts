import { describe, expect, it } from 'vitest';
import { fitLine, predict, predictionError } from '../../../lab/measure/linear-fit.js';

describe('fitLine', () => {
  it('finds slope, intercept, residuals and errors of a worked example', () => {
    const fit = fitLine([
      { x: 1, y: 1 },
      { x: 2, y: 2 },
      { x: 3, y: 1.3 },
      { x: 4, y: 3.75 },
      { x: 5, y: 2.25 },
    ]);
    expect(fit.slope).toBeCloseTo(0.425, 10);
    expect(fit.intercept).toBeCloseTo(0.785, 10);
    const expected = [-0.21, 0.365, -0.76, 1.265, -0.66];
    fit.residuals.forEach((residual, index) => expect(residual).toBeCloseTo(expected[index] ?? 0));
    // Squares left 2.79075 over 3 degrees of freedom; squares of x 10.
    expect(fit.slopeError).toBeCloseTo(Math.sqrt(2.79075 / 3 / 10), 10);
    expect(fit.interceptError).toBeCloseTo(Math.sqrt((2.79075 / 3) * (1 / 5 + 9 / 10)), 10);
    expect(fit.determination).toBeCloseTo(1 - 2.79075 / 4.597, 10);
    expect(predict(fit, 10)).toBeCloseTo(5.035, 10);
    expect(predictionError(fit, 10)).toBeCloseTo(Math.sqrt((2.79075 / 3) * (1 / 5 + 49 / 10)), 10);
  });

  it('draws an exact line without error', () => {
    const fit = fitLine([1, 2, 4].map((x) => ({ x, y: 7 + 3 * x })));
    expect(fit.slope).toBeCloseTo(3, 12);
    expect(fit.intercept).toBeCloseTo(7, 12);
    expect(fit.slopeError).toBeCloseTo(0, 12);
    expect(fit.determination).toBeCloseTo(1, 12);
  });

  it('does not claim an error from two points', () => {
    expect(fitLine([1, 2].map((x) => ({ x, y: x }))).slopeError).toBeNaN();
  });

  it('refuses points that have no two different sizes', () => {
    expect(() => fitLine([1, 2].map((y) => ({ x: 5, y })))).toThrow(RangeError);
  });
});
