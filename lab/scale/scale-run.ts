/** A whole scale run: the chosen parts, one after the other. */
import { describeMachine, type Machine } from '../measure/machine.js';
import type { Progress } from '../measure/progress.js';
import { readControl, type ControlReading } from './control-reading.js';
import { measureControlSeries, type ControlSeries } from './control-series.js';
import { measureRegistrySeries, type RegistrySeries } from './registry-series.js';
import type { ScaleOptions, ScalePart } from './scale-options.js';
import { measureStateGrowth, type StateGrowth } from './state-growth.js';

/** Everything one run found; a part that was not chosen is not there. */
export interface ScaleRecord {
  readonly machine: Machine;
  /** Mean runnable processes over the last minute, at the end. */
  readonly loadAverageAtEnd: number;
  readonly options: ScaleOptions;
  readonly growth?: StateGrowth;
  readonly daemons?: ControlSeries;
  readonly replicas?: ControlSeries;
  readonly controllers?: ControlSeries;
  readonly registry?: RegistrySeries;
  readonly letter?: ControlReading;
}

/** Runs `parts` in their usual order. */
export async function runScale(
  options: ScaleOptions,
  parts: ReadonlySet<ScalePart>,
  progress: Progress,
): Promise<ScaleRecord> {
  const machine = describeMachine();
  const { pace } = options;
  const series = (over: 'daemons' | 'replicas' | 'controllers'): Promise<ControlSeries> =>
    measureControlSeries(over, options[over], pace, progress);
  const growth = parts.has('growth') ? { growth: measureStateGrowth(options.growth) } : {};
  const daemons = parts.has('daemons') ? { daemons: await series('daemons') } : {};
  const replicas = parts.has('replicas') ? { replicas: await series('replicas') } : {};
  const controllers = parts.has('controllers') ? { controllers: await series('controllers') } : {};
  const registry = parts.has('registry')
    ? { registry: await measureRegistrySeries(options.registry, progress) }
    : {};
  const letter = parts.has('letter') ? { letter: await readControl(options.letter, pace) } : {};
  return {
    machine,
    loadAverageAtEnd: describeMachine().loadAverage,
    options,
    ...growth,
    ...daemons,
    ...replicas,
    ...controllers,
    ...registry,
    ...letter,
  };
}
