/** How a process of a fleet ended. */
export interface ProcessEnd {
  readonly name: string;
  /** Absent when a signal ended it. */
  readonly exitCode?: number;
  readonly signal?: string;
  /** It did not stop in time after SIGTERM and was killed. */
  readonly hung: boolean;
}

/** Whether it stopped as it was told to. */
export function isPlannedEnd({ exitCode, hung }: ProcessEnd): boolean {
  return exitCode === 0 && !hung;
}

/** As a person reads it. */
export function describeEnd({ name, exitCode, signal, hung }: ProcessEnd): string {
  if (hung) return `${name} did not stop in time and was killed`;
  return `${name} ended with ${exitCode === undefined ? signal : `exit code ${exitCode}`}`;
}
