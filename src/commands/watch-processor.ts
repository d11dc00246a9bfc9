/** Tells what a process spends its processor time on: in its metrics, and in a line now and then. */
import { Counter } from 'prom-client';
import { loopTurns, watchCollector } from '../node/loop-usage.js';
import { NodeProcessorMeter } from '../node/node-processor-meter.js';
import { repeatWhileRunning } from '../node/repeat-while-running.js';
import type { Telemetry } from '../observability/telemetry.js';

/** Between two lines. Milliseconds. */
const LOG_INTERVAL_MS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Call before the daemon starts. Returns the meter for the daemon's environment. */
export function watchProcessor({ logger, registry }: Telemetry): NodeProcessorMeter {
  const meter = new NodeProcessorMeter();
  const collectorMs = watchCollector();
  new Counter({
    name: 'driftway_processor_seconds_total',
    help: 'Processor time of this process, by what it was spent on.',
    labelNames: ['cause'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [cause, ms] of meter.read()) this.inc({ cause }, ms / MILLISECONDS_PER_SECOND);
    },
  });
  const readings = (): Map<string, number> => {
    const now = new Map<string, number>();
    for (const [cause, ms] of meter.read()) now.set(`${cause}Ms`, ms);
    return now.set('collectorMs', collectorMs()).set('loopTurns', loopTurns());
  };
  let before = new Map<string, number>();
  repeatWhileRunning(LOG_INTERVAL_MS, () => {
    const now = readings();
    const spent = [...now].map(([name, value]) => [
      name,
      Math.round(value - (before.get(name) ?? 0)),
    ]);
    before = now;
    logger.info('processor time', Object.fromEntries(spent) as Record<string, number>);
  });
  return meter;
}
