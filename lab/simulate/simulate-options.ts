/** What a simulation run is asked for. */
import type { DeploymentName } from '../bench/deployment.js';
import type { BrokenRule } from './broken-rules.js';
import type { FaultKind } from './fault-kinds.js';

/** One seed's run. */
export interface SimulateOptions {
  readonly deployment: DeploymentName;
  readonly faults: readonly FaultKind[];
  /** Virtual time during which faults begin and end. Minutes. */
  readonly minutes: number;
  /** Requests a second over all routers. */
  readonly rate: number;
  /** Numbers of the scheduled faults that strike; all when absent. */
  readonly only?: readonly number[];
  /** The rule that the daemons break; the shipped code, unchanged, when absent. */
  readonly broken?: BrokenRule;
}

export const DEFAULT_SIMULATE_OPTIONS: SimulateOptions = {
  deployment: 'dohoku',
  faults: [],
  minutes: 1,
  rate: 20,
};

/** The command that runs one seed again with the same options. */
export function replayCommand(seed: number, options: SimulateOptions): string {
  const { deployment, faults, minutes, rate, only, broken } = options;
  const kinds = faults.length === 0 ? 'none' : faults.join(',');
  const parts = [
    `driftway-lab simulate --deployment ${deployment} --seeds ${seed}..${seed}`,
    `--faults ${kinds} --minutes ${minutes} --rate ${rate}`,
  ];
  if (broken !== undefined) parts.push(`--break ${broken}`);
  if (only !== undefined) parts.push(`--only ${only.length === 0 ? 'none' : only.join(',')}`);
  return `${parts.join(' ')} --json`;
}
