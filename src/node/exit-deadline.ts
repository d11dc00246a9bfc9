/**
 * Ends a process that something still keeps running after its daemon has stopped, such as a timer of
 * a task that didn't end or lines that their reader doesn't take. A supervisor would wait for it, and
 * start the next daemon late.
 */
import type { Logger } from '../observability/logger.js';

/** Time for the last lines to be read. Milliseconds. */
const EXIT_TIMEOUT_MS = 1_000;

/** The functions of Node's `process` that an {@link enforceExit} uses. */
export interface ExitingProcess {
  /** Kinds of what keeps the process running. */
  getActiveResourcesInfo(): readonly string[];
  exit(exitCode: number): void;
}

/** Call when the daemon has stopped. Doesn't itself keep the process running. */
export function enforceExit(logger: Logger, exitCode: number, target: ExitingProcess): void {
  const exit = setTimeout(() => target.exit(exitCode), EXIT_TIMEOUT_MS);
  const report = setTimeout(() => {
    logger.error('process still running after its stop', {
      resources: target.getActiveResourcesInfo().join(' '),
    });
  }, EXIT_TIMEOUT_MS / 2);
  exit.unref();
  report.unref();
}
