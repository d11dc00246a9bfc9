/** Proposes changes of the quarantine to the replicated log, and reads it. */
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import { SectionTag, sectionCommand } from '../consensus/sectioned-state-machine.js';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';
import { QuarantineState, isActiveState, type QuarantineEntry } from './quarantine-entry.js';
import {
  NO_EVIDENCE,
  QuarantineChangeKind,
  decodeQuarantineOutcome,
  encodeQuarantineChanges,
  type QuarantineChange,
  type QuarantineRegister,
} from './quarantine-register.js';

/** No request of the fingerprint is known; nothing was changed. */
export class UnknownFingerprintError extends DriftwayError {
  constructor(fingerprint: string) {
    const labels = [ErrorLabel.NotRun, ErrorLabel.BadInput];
    super(`no request "${fingerprint}" is known`, { step: 'lift quarantine', labels });
  }
}

/** What orders are given through. */
export interface QuarantineOrdersOptions {
  readonly log: ReplicatedLog;
  readonly register: QuarantineRegister;
  readonly logger: Logger;
}

/** See the module comment. */
export class QuarantineOrders {
  constructor(private readonly options: QuarantineOrdersOptions) {}

  /**
   * Has a request sent to replicas again; resolves once that is durable. Lifted already, or
   * answered by a replica since, it stays as it is.
   *
   * @throws UnknownFingerprintError when nothing is known of it.
   * @throws NoQuorumError when this controller may lack what others know.
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the order may still be carried out.
   */
  async lift(fingerprint: string): Promise<void> {
    const { log, register, logger } = this.options;
    await log.readBarrier();
    if (register.find(fingerprint) === undefined) throw new UnknownFingerprintError(fingerprint);
    const lift = { ...NO_EVIDENCE, kind: QuarantineChangeKind.Lift, fingerprint };
    const changed = await this.propose([lift]);
    logger.info('quarantine lifted', { fingerprint, changed: changed > 0 });
  }

  /**
   * Makes changes; resolves with the number of those that were news.
   *
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the changes may still be made.
   */
  async propose(changes: readonly QuarantineChange[]): Promise<number> {
    const command = sectionCommand(SectionTag.Quarantine, encodeQuarantineChanges(changes));
    const { result } = await this.options.log.propose(command);
    return decodeQuarantineOutcome(result);
  }

  /**
   * Suspected and quarantined requests, with every change acknowledged before the call.
   *
   * @throws NoQuorumError when this controller may lack some of them.
   */
  async read(): Promise<readonly QuarantineEntry[]> {
    await this.options.log.readBarrier();
    return this.applied();
  }

  /** Suspected and quarantined requests as far as changes are applied here, the latest first. */
  applied(): readonly QuarantineEntry[] {
    return this.options.register
      .all()
      .filter(({ state }) => isActiveState(state) && state !== QuarantineState.Observed)
      .reverse();
  }
}
