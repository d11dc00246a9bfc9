/** Writes what left the zone into the log now and then, for fleets whose counters nobody collects. */
import type { Clock } from '../seams/clock.js';
import type { Logger } from './logger.js';
import type { ZoneTraffic } from './zone-traffic.js';

/** Between two lines. Milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/** What is written, and when. */
export interface ZoneTrafficLogParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
  readonly stopped: AbortSignal;
}

function sumOf(totals: Readonly<Record<string, number>>): number {
  return Object.values(totals).reduce((sum, bytes) => sum + bytes, 0);
}

/** Writes the totals of {@link ZoneTraffic.leavingBytes} when they have grown, until stopped. */
export async function logZoneTraffic(parts: ZoneTrafficLogParts): Promise<void> {
  const { clock, logger, traffic, stopped } = parts;
  let written = 0;
  while (!stopped.aborted) {
    await clock.sleep(LOG_INTERVAL_MS, stopped).catch(() => undefined);
    const totals = traffic.leavingBytes();
    const bytes = sumOf(totals);
    if (bytes === written) continue;
    written = bytes;
    logger.info('traffic between zones', { bytes, ...totals });
  }
}
