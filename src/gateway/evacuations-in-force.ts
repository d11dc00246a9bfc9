/** Puts orders to evacuate zones in force at this gateway. */
import { EvacuatedZones } from '../evacuations/evacuated-zones.js';
import type { ZoneEvacuation } from '../evacuations/zone-evacuation.js';
import type { Logger } from '../observability/logger.js';
import type { GatewayContext } from './gateway-context.js';

/** See the module comment. */
export class EvacuationsInForce {
  private readonly evacuatedZones = new EvacuatedZones();

  constructor(
    private readonly context: Pick<GatewayContext, 'targets' | 'metrics'>,
    private readonly logger: Logger,
  ) {}

  /** A controller told of the last order about a zone; older word than is known changes nothing. */
  take(evacuation: ZoneEvacuation): void {
    if (!this.evacuatedZones.update(evacuation)) return;
    const { zones } = this.evacuatedZones;
    this.context.targets.setEvacuatedZones(zones);
    this.context.metrics.evacuatedZones.set(zones.size);
    const { zone, isEvacuated, revision } = evacuation;
    this.logger.info('evacuation in force', { zone, isEvacuated, revision });
  }
}
