/** Calls at fixed intervals, whether or not earlier ones have ended. */

/** A running schedule. */
export interface OpenLoop {
  /** Ends the schedule and resolves when every call has ended. */
  stop(): Promise<void>;
}

/** Longest sleep between two looks at the schedule; calls due meanwhile leave together. Milliseconds. */
const TICK = 1;

/** Starts `call` `ratePerSecond` times a second. A call must not reject. */
export function startOpenLoop(ratePerSecond: number, call: () => Promise<void>): OpenLoop {
  const interval = 1_000 / ratePerSecond;
  const open = new Set<Promise<void>>();
  let dueAt = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    while (dueAt <= now) {
      dueAt += interval;
      const running = call().finally(() => open.delete(running));
      open.add(running);
    }
  }, TICK);
  return {
    stop: async () => {
      clearInterval(timer);
      await Promise.all(open);
    },
  };
}
