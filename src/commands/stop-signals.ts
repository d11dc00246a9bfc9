/** The signals that stop a daemon's process. */

/** Node's `process`, as far as its signals are concerned. */
export interface SignalledProcess {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
  exit(exitCode: number): void;
}

/** Exit code of a shell's child that SIGINT ended. */
const INTERRUPTED_EXIT_CODE = 130;

/**
 * Resolves with the first SIGTERM or SIGINT. Later ones change nothing, as supervisors repeat them and
 * also send them to process groups; a second SIGINT, from someone at a terminal, ends the process at
 * once. From the first one on, SIGHUP has no effect: the terminal may close during the stop.
 */
export function nextStopSignal(target: SignalledProcess): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    let isStopping = false;
    let interrupts = 0;
    const stop = (signal: NodeJS.Signals): void => {
      if (!isStopping) target.on('SIGHUP', () => undefined);
      isStopping = true;
      resolve(signal);
    };
    target.on('SIGTERM', () => stop('SIGTERM'));
    target.on('SIGINT', () => {
      interrupts += 1;
      if (interrupts > 1) target.exit(INTERRUPTED_EXIT_CODE);
      else stop('SIGINT');
    });
  });
}
