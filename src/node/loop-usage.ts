/** How often the event loop of this process turned, and for how long the collector of its heap ran. */
import { PerformanceObserver, performance } from 'node:perf_hooks';

/** Returns a reading of the time that the collector of the heap has taken so far. Milliseconds. */
export function watchCollector(): () => number {
  let collectorMs = 0;
  new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) collectorMs += duration;
  }).observe({ entryTypes: ['gc'] });
  return () => collectorMs;
}

/** Turns of the event loop so far: how often the process was woken up, or had more to do. */
export function loopTurns(): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount;
}
