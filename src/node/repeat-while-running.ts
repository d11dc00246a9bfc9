/** A timer for what only watches the process: it doesn't itself keep the process running. */

/** Calls `callback` every `intervalMs` milliseconds until the process ends. */
export function repeatWhileRunning(intervalMs: number, callback: () => void): void {
  setInterval(callback, intervalMs).unref();
}
