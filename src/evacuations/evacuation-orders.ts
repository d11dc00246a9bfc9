/** Gives and reads orders to evacuate zones, through the replicated log. */
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import { SectionTag, sectionCommand } from '../consensus/sectioned-state-machine.js';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';
import {
  EvacuationOrderStatus,
  decodeEvacuationOutcome,
  encodeEvacuationOrder,
  type EvacuationOrder,
  type EvacuationOutcome,
  type EvacuationRegister,
} from './evacuation-register.js';

/** Longest name of a zone; bounds what an order may add to the replicated state. */
const MAXIMUM_ZONE_LENGTH = 255;

/** No zone of the name can be evacuated; nothing was changed. */
export class EvacuationRefusedError extends DriftwayError {
  constructor(reason: string) {
    const labels = [ErrorLabel.NotRun, ErrorLabel.BadInput];
    super(reason, { step: 'evacuate zone', labels });
  }
}

function unknownZoneError(zone: string): EvacuationRefusedError {
  return new EvacuationRefusedError(`there is no zone "${zone}"`);
}

/** What orders are given through. */
export interface EvacuationOrdersOptions {
  readonly log: ReplicatedLog;
  readonly register: EvacuationRegister;
  /** Zones of the deployment; empty when they are not known, and then any name is taken. */
  readonly knownZones: ReadonlySet<string>;
  readonly logger: Logger;
}

/** See the module comment. */
export class EvacuationOrders {
  constructor(private readonly options: EvacuationOrdersOptions) {}

  /**
   * Resolves once the order is durable; the same order again changes nothing and resolves too.
   *
   * @throws EvacuationRefusedError when there is no such zone.
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the order may still be carried out.
   */
  async submit(order: EvacuationOrder): Promise<EvacuationOutcome> {
    this.checkZone(order.zone);
    const command = sectionCommand(SectionTag.Evacuations, encodeEvacuationOrder(order));
    const { result } = await this.options.log.propose(command);
    const outcome = decodeEvacuationOutcome(result);
    this.options.logger.info('evacuation ordered', { ...order, ...outcome });
    if (outcome.status === EvacuationOrderStatus.Refused) {
      throw new EvacuationRefusedError('too many zones were evacuated before');
    }
    return outcome;
  }

  /**
   * The evacuated zones, with every order that was acknowledged before the call.
   *
   * @throws NoQuorumError when this controller may lack some of them.
   */
  async readZones(): Promise<readonly string[]> {
    await this.options.log.readBarrier();
    return this.appliedZones();
  }

  /** The evacuated zones as far as orders are applied here. */
  appliedZones(): string[] {
    return this.options.register.evacuatedZones();
  }

  private checkZone(zone: string): void {
    const { knownZones } = this.options;
    const hasValidLength = zone.length > 0 && zone.length <= MAXIMUM_ZONE_LENGTH;
    const isKnown = knownZones.size === 0 || knownZones.has(zone);
    if (!hasValidLength || !isKnown) throw unknownZoneError(zone);
  }
}
