/**
 * Logs a warning while gateways that follow this controller lack its route document for longer than
 * a normal change takes, and logs when all of them have caught up.
 */
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import type { GatewayRoutes } from './gateway-routes.js';

/**
 * A gateway is late after this time. A normal change is in force sooner, even at a gateway whose
 * preferred controller is lost, and the stream of a gateway that is down has been closed by then.
 * Milliseconds.
 */
const LATE_AFTER_MS = 2_000;
/** Minimum interval between warnings. Milliseconds. */
const WARNING_INTERVAL_MS = 5_000;
/** Most gateways listed in a warning. */
const MAXIMUM_LISTED_GATEWAYS = 3;

/** Dependencies of the watch. */
export interface RouteLagWatchParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Route document state of the gateways that follow this controller. */
  readonly gateways: () => readonly GatewayRoutes[];
  /** Version of this controller's route document; undefined before the first. */
  readonly version: () => number | undefined;
}

function isLate({ lackingMs }: GatewayRoutes): boolean {
  return lackingMs !== undefined && lackingMs > LATE_AFTER_MS;
}

/** Has no timer of its own: the caller invokes {@link RouteLagWatch.check}. */
export class RouteLagWatch {
  private isLate = false;
  private lastWarningAt = -Infinity;

  constructor(private readonly parts: RouteLagWatchParts) {}

  /** Checks the gateways once; call it a few times a second. */
  check(): void {
    const late = this.parts.gateways().filter(isLate);
    if (late.length === 0) this.logCaughtUp();
    else this.warnIfDue(late);
  }

  private warnIfDue(late: readonly GatewayRoutes[]): void {
    const { clock, logger, version } = this.parts;
    const now = clock.now();
    if (now - this.lastWarningAt < WARNING_INTERVAL_MS) return;
    this.isLate = true;
    this.lastWarningAt = now;
    const longest = [...late].sort((left, right) => (right.lackingMs ?? 0) - (left.lackingMs ?? 0));
    logger.warn('gateways lack the route document', {
      version: version(),
      gateways: late.length,
      longest: longest.slice(0, MAXIMUM_LISTED_GATEWAYS).map((routes) => ({
        gateway: routes.gateway,
        inForce: routes.version,
        lackingMs: Math.round(routes.lackingMs ?? 0),
        owedBy: routes.owedBy.join(','),
      })),
    });
  }

  private logCaughtUp(): void {
    if (!this.isLate) return;
    this.isLate = false;
    this.parts.logger.info('gateways have the route document', { version: this.parts.version() });
  }
}
