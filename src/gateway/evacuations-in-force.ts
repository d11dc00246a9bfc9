/** Applies zone evacuation orders at this gateway. */
import { EvacuatedZones } from '../evacuations/evacuated-zones.js';
import type { ZoneEvacuation } from '../evacuations/zone-evacuation.js';
import type { Logger } from '../observability/logger.js';
import type { GatewayContext } from './gateway-context.js';

/** Keeps the latest order per zone and passes the evacuated zones to the replica targets. */
export class EvacuationsInForce {
  private readonly evacuatedZones = new EvacuatedZones();

  constructor(
    private readonly context: Pick<GatewayContext, 'targets' | 'metrics'>,
    private readonly logger: Logger,
  ) {}

  /** Applies a zone's order from a controller, unless it is no newer than the known one. */
  take(evacuation: ZoneEvacuation): void {
    if (!this.evacuatedZones.update(evacuation)) return;
    const { zones } = this.evacuatedZones;
    this.context.targets.setEvacuatedZones(zones);
    this.context.metrics.evacuatedZones.set(zones.size);
    const { zone, isEvacuated, revision } = evacuation;
    this.logger.info('evacuation in force', { zone, isEvacuated, revision });
  }
}
