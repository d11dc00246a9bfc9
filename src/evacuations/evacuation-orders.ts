/** Submits evacuation orders through the replicated log, and reads the evacuated zones. */
import { readForCaller } from '../consensus/caller-barrier.js';
import { NotProposedError } from '../consensus/consensus-errors.js';
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import { SectionTag, sectionCommand } from '../consensus/sectioned-state-machine.js';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
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

/** How often an order is proposed when others for its zone come first. */
const MAXIMUM_ATTEMPTS = 10;

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
  readonly clock: Pick<Clock, 'sleep'>;
  /** Zones of the deployment; empty when they are not known, in which case any name is accepted. */
  readonly knownZones: ReadonlySet<string>;
  readonly logger: Logger;
}

/** Calls go through the log, except {@link EvacuationOrders.appliedZones}, which reads locally. */
export class EvacuationOrders {
  constructor(private readonly options: EvacuationOrdersOptions) {}

  /**
   * Resolves once the order is durable. Idempotent: repeating an order changes nothing. An order of a caller
   * that has given it up is not carried out, nor is a copy of it that reaches the log after another order.
   *
   * @param caller - aborts when the caller closed its connection.
   * @throws EvacuationRefusedError when there is no such zone, or too many zones are registered.
   * @throws NoQuorumError when this controller cannot confirm that its state is up to date.
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the order may still be carried out.
   */
  async submit(order: EvacuationOrder, caller: AbortSignal): Promise<EvacuationOutcome> {
    this.checkZone(order.zone);
    const { log, clock, logger } = this.options;
    logger.info('evacuation order received', { ...order, role: log.status().role });
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      await readForCaller(log, clock, caller);
      const outcome = await this.proposeNext(order, caller);
      if (outcome.status === EvacuationOrderStatus.Superseded) continue;
      logger.info('evacuation ordered', { ...order, ...outcome, callerGone: caller.aborted });
      if (outcome.status !== EvacuationOrderStatus.Refused) return outcome;
      throw new EvacuationRefusedError('too many zones were evacuated before');
    }
    throw new NotProposedError('other orders for the zone came first');
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

  /** Proposes the order as the next one after those applied here. */
  private async proposeNext(
    order: EvacuationOrder,
    caller: AbortSignal,
  ): Promise<EvacuationOutcome> {
    const { log, register } = this.options;
    const expectedRevision = register.revisionOf(order.zone);
    const encoded = encodeEvacuationOrder({ ...order, expectedRevision });
    const command = sectionCommand(SectionTag.Evacuations, encoded);
    const { result } = await log.propose(command, caller);
    return decodeEvacuationOutcome(result);
  }

  private checkZone(zone: string): void {
    const { knownZones } = this.options;
    const hasValidLength = zone.length > 0 && zone.length <= MAXIMUM_ZONE_LENGTH;
    const isKnown = knownZones.size === 0 || knownZones.has(zone);
    if (!hasValidLength || !isKnown) throw unknownZoneError(zone);
  }
}
