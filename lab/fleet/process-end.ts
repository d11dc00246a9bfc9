/** How a process of a fleet ended. */
export interface ProcessEnd {
  readonly name: string;
  /** Absent when a signal ended it. */
  readonly exitCode?: number;
  readonly signal?: string;
  /** It did not stop in time after SIGTERM and was killed. */
  readonly hung: boolean;
  /** It ended, but something kept it running after its daemon had stopped. */
  readonly lingered?: boolean;
}

/** Whether it stopped as it was told to. */
export function isPlannedEnd({ exitCode, hung, lingered = false }: ProcessEnd): boolean {
  return exitCode === 0 && !hung && !lingered;
}

/** As a person reads it. */
export function describeEnd({ name, exitCode, signal, hung, lingered }: ProcessEnd): string {
  if (hung) return `${name} did not stop in time and was killed`;
  if (lingered === true) return `${name} was kept running after its daemon had stopped`;
  return `${name} ended with ${exitCode === undefined ? signal : `exit code ${exitCode}`}`;
}
