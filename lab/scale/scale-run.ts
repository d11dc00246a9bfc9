/** A whole scale run: the chosen parts, one after the other. */
import { describeMachine, type Machine } from '../measure/machine.js';
import type { Progress } from '../measure/progress.js';
import { readControl, type ControlReading } from './control-reading.js';
import { measureControlSeries, type ControlSeries } from './control-series.js';
import { measureRegistrySeries, type RegistrySeries } from './registry-series.js';
import { SCALE_PARTS, type ScaleOptions, type ScalePart } from './scale-options.js';
import { measureStateGrowth, type StateGrowth } from './state-growth.js';

/** Everything one run found; a part that was not chosen or failed is not there. */
export interface ScaleRecord {
  /** Why a part has no result, by part. */
  readonly failures: Readonly<Partial<Record<ScalePart, string>>>;
  readonly machine: Machine;
  /** Mean runnable processes over the last minute, at the end. */
  readonly loadAverageAtEnd: number;
  readonly options: ScaleOptions;
  readonly growth?: StateGrowth;
  readonly daemons?: ControlSeries;
  readonly replicas?: ControlSeries;
  readonly controllers?: ControlSeries;
  readonly registry?: RegistrySeries;
  readonly expected?: ControlReading;
}

/** Results of the parts. */
type PartResults = Omit<ScaleRecord, 'machine' | 'loadAverageAtEnd' | 'options' | 'failures'>;

async function runPart(
  part: ScalePart,
  options: ScaleOptions,
  progress: Progress,
): Promise<PartResults> {
  const { pace } = options;
  switch (part) {
    case 'growth':
      return { growth: measureStateGrowth(options.growth) };
    case 'daemons':
    case 'replicas':
    case 'controllers':
      return { [part]: await measureControlSeries(part, options[part], pace, progress) };
    case 'registry':
      return { registry: await measureRegistrySeries(options.registry, progress) };
    case 'expected':
      return { expected: await readControl(options.expected.size, options.expected.pace) };
  }
}

/** Runs `parts` in their usual order. One that fails is named and the others go on. */
export async function runScale(
  options: ScaleOptions,
  parts: ReadonlySet<ScalePart>,
  progress: Progress,
): Promise<ScaleRecord> {
  const machine = describeMachine();
  const failures: Partial<Record<ScalePart, string>> = {};
  let results: PartResults = {};
  for (const part of SCALE_PARTS.filter((each) => parts.has(each))) {
    try {
      results = { ...results, ...(await runPart(part, options, progress)) };
    } catch (error) {
      failures[part] = String(error);
      progress(`${part} failed: ${String(error)}`);
    }
  }
  const loadAverageAtEnd = describeMachine().loadAverage;
  return { machine, loadAverageAtEnd, options, failures, ...results };
}
