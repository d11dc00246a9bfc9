/** What became of every process of a fleet, and whether it was meant to. */
import { describeEnd, isPlannedEnd, type ProcessEnd } from './process-end.js';

const KILL_SIGNAL = 'SIGKILL';

/** Kept by the fleet runner. */
export interface ProcessRecord {
  /** Processes that were started, by name, as often as they were. */
  readonly started: readonly string[];
  /** How processes ended. */
  readonly ends: readonly ProcessEnd[];
  /** Processes that were killed on purpose, as often as they were. */
  readonly killed: readonly string[];
}

/**
 * Every process must have stopped as it was told to, or died by a kill on
 * purpose. Returns what else happened, in sentences.
 */
export function checkProcesses({ started, ends, killed }: ProcessRecord): string[] {
  const expectedKills = [...killed];
  const isExpected = (end: ProcessEnd): boolean => {
    if (isPlannedEnd(end)) return true;
    const position = expectedKills.indexOf(end.name);
    if (end.hung || end.signal !== KILL_SIGNAL || position < 0) return false;
    expectedKills.splice(position, 1);
    return true;
  };
  const problems = ends.filter((end) => !isExpected(end)).map(describeEnd);
  const left = [...started];
  for (const { name } of ends) {
    const position = left.indexOf(name);
    if (position >= 0) left.splice(position, 1);
  }
  if (started.length === 0) problems.push('no process was started');
  return [...problems, ...left.map((name) => `${name} was still running`)];
}
