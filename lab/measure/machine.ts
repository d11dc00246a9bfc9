/** What a run ran on, for its record. */
import { cpus, loadavg, totalmem } from 'node:os';

/** The machine, with its load when asked. */
export interface Machine {
  readonly node: string;
  readonly cores: number;
  readonly processor: string;
  readonly memoryBytes: number;
  /** Mean runnable processes over the last minute. */
  readonly loadAverage: number;
  /** ISO 8601. */
  readonly at: string;
}

export function describeMachine(): Machine {
  const processors = cpus();
  return {
    node: process.version,
    cores: processors.length,
    processor: processors[0]?.model ?? 'unknown',
    memoryBytes: totalmem(),
    loadAverage: loadavg()[0] ?? 0,
    at: new Date().toISOString(),
  };
}
