/** Submits evacuation orders through the replicated log, and reads the evacuated zones. */
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

/** Maximum length of a zone's name, in characters; bounds what an order adds to the state. */
const MAXIMUM_ZONE_LENGTH = 255;

/** The zone does not exist or cannot be registered; nothing was changed. */
export class EvacuationRefusedError extends DriftwayError {
  constructor(reason: string) {
    const labels = [ErrorLabel.NotRun, ErrorLabel.BadInput];
    super(reason, { step: 'evacuate zone', labels });
  }
}

function unknownZoneError(zone: string): EvacuationRefusedError {
  return new EvacuationRefusedError(`there is no zone "${zone}"`);
}

/** Dependencies of {@link EvacuationOrders}. */
export interface EvacuationOrdersOptions {
  readonly log: ReplicatedLog;
  readonly register: EvacuationRegister;
  /** Zones of the deployment; empty when they are not known, in which case any name is accepted. */
  readonly knownZones: ReadonlySet<string>;
  readonly logger: Logger;
}

/** Calls go through the log, except {@link EvacuationOrders.appliedZones}, which reads locally. */
export class EvacuationOrders {
  constructor(private readonly options: EvacuationOrdersOptions) {}

  /**
   * Resolves once the order is durable. Idempotent: repeating an order changes nothing.
   *
   * @param caller - aborts when the caller closed its connection.
   * @throws EvacuationRefusedError when there is no such zone, or too many zones are registered.
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the order may still be carried out.
   */
  async submit(order: EvacuationOrder, caller: AbortSignal): Promise<EvacuationOutcome> {
    this.checkZone(order.zone);
    const { log, logger } = this.options;
    logger.info('evacuation order received', { ...order, role: log.status().role });
    const command = sectionCommand(SectionTag.Evacuations, encodeEvacuationOrder(order));
    const { result } = await log.propose(command);
    const outcome = decodeEvacuationOutcome(result);
    logger.info('evacuation ordered', { ...order, ...outcome, callerGone: caller.aborted });
    if (outcome.status === EvacuationOrderStatus.Refused) {
      throw new EvacuationRefusedError('too many zones were evacuated before');
    }
    return outcome;
  }

  /**
   * Returns the evacuated zones, including every order acknowledged before the call.
   *
   * @throws NoQuorumError when this controller cannot confirm that its state is up to date.
   */
  async readZones(): Promise<readonly string[]> {
    await this.options.log.readBarrier();
    return this.appliedZones();
  }

  /** Returns the evacuated zones as of the last order applied on this controller; may be stale. */
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
