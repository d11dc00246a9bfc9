/** Where a daemon writes its log lines and its counters. */
import type { Registry } from 'prom-client';
import type { Logger } from './logger.js';

/** Handed to a daemon when it starts. */
export interface Telemetry {
  readonly logger: Logger;
  readonly registry: Registry;
}
