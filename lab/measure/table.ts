/** Text tables and fits for people. */
import type { LinearFit } from './linear-fit.js';
import type { Spread } from './spread.js';

/** Rows of cells under a header, as Markdown. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}

/** Three significant digits. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return String(value);
  if (Math.abs(value) >= 1_000) return Math.round(value).toLocaleString('en-US');
  return String(Number(value.toPrecision(3)));
}

/** `median (minimum to maximum)`. */
export function formatSpread(spread: Spread): string {
  const { median, minimum, maximum } = spread;
  return `${formatNumber(median)} (${formatNumber(minimum)} to ${formatNumber(maximum)})`;
}

/** `slope ± error each, from intercept; residuals ...`. */
export function formatFit(fit: LinearFit): string {
  const residuals = fit.residuals.map(formatNumber).join(', ');
  return [
    `${formatNumber(fit.slope)} ± ${formatNumber(fit.slopeError)} each`,
    `${formatNumber(fit.intercept)} at 0`,
    `R² ${formatNumber(fit.determination)}`,
    `residuals ${residuals}`,
  ].join('; ');
}
