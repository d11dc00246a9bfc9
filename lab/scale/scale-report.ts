/** The record of a scale run in its form for people. */
import { predict, predictionError } from '../measure/linear-fit.js';
import { formatNumber, formatTable } from '../measure/table.js';
import { LONE_DAEMONS } from './control-bench.js';
import type { ControlReading, RoleReading, TimeInForce } from './control-reading.js';
import type { ScaleRecord } from './scale-run.js';
import type { Slope } from './slope.js';

/** Sizes expected within two years, at which each line is read off. */
const EXPECTED_SIZES: Readonly<Record<string, number>> = {
  daemons: 1_100,
  replicas: 6_700,
  controllers: 9,
};

function slopeHeader(expected: number | undefined): string[] {
  const readOff = expected === undefined ? [] : [`at ${formatNumber(expected)}`, '± error'];
  return ['quantity', 'unit', 'each', '± error', 'at 0', ...readOff, 'R²', 'residuals'];
}

function slopeRow({ quantity, unit, fit }: Slope, expected: number | undefined): string[] {
  const readOff =
    expected === undefined ? [] : [predict(fit, expected), predictionError(fit, expected)];
  return [
    quantity,
    unit,
    formatNumber(fit.slope),
    formatNumber(fit.slopeError),
    formatNumber(fit.intercept),
    ...readOff.map(formatNumber),
    formatNumber(fit.determination),
    fit.residuals.map(formatNumber).join(', '),
  ];
}

function slopeTables(slopes: readonly Slope[]): string[] {
  const sizes = [...new Set(slopes.map(({ over }) => over))];
  return sizes.flatMap((over) => {
    const chosen = slopes.filter((slope) => slope.over === over);
    const points = chosen[0]?.fit.points.map(({ x }) => formatNumber(x)).join(', ') ?? '';
    const expected = EXPECTED_SIZES[over];
    const rows = chosen.map((slope) => slopeRow(slope, expected));
    return [`Over ${over} (${points}):`, '', formatTable(slopeHeader(expected), rows), ''];
  });
}

function roleLine(
  name: string,
  processes: number,
  { rest, eachChange, memory }: RoleReading,
): string {
  const seconds = rest.milliseconds / 1_000;
  const each = (total: number): string => formatNumber(total / processes);
  return [
    `${name}, each of ${processes}: at rest ${each(rest.bytes / seconds)} bytes/s`,
    `${each(rest.frames / seconds)} frames/s`,
    `${each(rest.cpuMicroseconds / seconds)} µs CPU/s`,
    `for one change ${each(eachChange.bytes)} bytes`,
    `${each(eachChange.cpuMicroseconds)} µs CPU`,
    `memory ${each(memory.resident)} bytes resident, ${each(memory.managed)} heap and buffers`,
  ].join(', ');
}

function inForceLine(where: string, times: TimeInForce): string {
  const { acceptedMedian, median, p99, maximum, observations } = times;
  return (
    `  ${where}: accepted p50 ${formatNumber(acceptedMedian)} ms; in force p50 ` +
    `${formatNumber(median)}, p99 ${formatNumber(p99)}, longest ${formatNumber(maximum)} ms ` +
    `of ${observations}`
  );
}

function controlLines(reading: ControlReading): string[] {
  const { size, controllers, sharedDaemons, loneDaemons } = reading;
  const lone = Math.min(LONE_DAEMONS, size.daemons);
  return [
    `${size.controllers} controllers, ${size.daemons} daemons, ${size.replicas} replicas:`,
    `  ${roleLine('daemon that shares a process', size.daemons - lone, sharedDaemons)}`,
    `  ${roleLine('lone daemon', lone, loneDaemons)}`,
    `  ${roleLine('controller', size.controllers, controllers)}`,
    inForceLine('lone daemons', reading.loneInForce),
    inForceLine('daemons that share a process', reading.sharedInForce),
    `  all daemons started at once in ${formatNumber(reading.startMilliseconds)} ms; ` +
      `log ${formatNumber(reading.logBytesEachChange)} bytes and ` +
      `${formatNumber(reading.syncsEachChange)} syncs a change`,
  ];
}

/** Markdown. */
export function formatScale(record: ScaleRecord): string {
  const { machine, loadAverageAtEnd, growth, daemons, replicas, controllers, registry, expected } =
    record;
  const series = [daemons, replicas, controllers].filter((one) => one !== undefined);
  const slopes = [
    ...(growth?.slopes ?? []),
    ...series.flatMap((one) => one.slopes),
    ...(registry?.slopes ?? []),
  ];
  const readings = [...series.flatMap((one) => one.readings), ...(expected ? [expected] : [])];
  return [
    `Node ${machine.node}, ${machine.cores} cores (${machine.processor}), load average ` +
      `${formatNumber(machine.loadAverage)} at the start, ${formatNumber(loadAverageAtEnd)} ` +
      `at the end, ${machine.at}`,
    '',
    ...Object.entries(record.failures).map(([part, reason]) => `${part} failed: ${reason}`),
    ...slopeTables(slopes),
    ...readings.flatMap(controlLines),
  ].join('\n');
}
