/** Proposes changes of the quarantine register to the replicated log, and reads the register. */
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

/** The register has no entry for a fingerprint; nothing was changed. */
export class UnknownFingerprintError extends DriftwayError {
  constructor(fingerprint: string) {
    const labels = [ErrorLabel.NotRun, ErrorLabel.BadInput];
    super(`no request "${fingerprint}" is known`, {
      step: 'lift quarantine',
      labels,
    });
  }
}

/** Dependencies of {@link QuarantineOrders}. */
export interface QuarantineOrdersOptions {
  readonly log: ReplicatedLog;
  readonly register: QuarantineRegister;
  readonly logger: Logger;
}

/** Every controller has one; operator calls and the evidence intake use it. */
export class QuarantineOrders {
  constructor(private readonly options: QuarantineOrdersOptions) {}

  /**
   * Lifts the quarantine or the suspicion of a request, which replicas then receive as any other;
   * resolves once the change is durable. An entry that is already lifted, or whose request a
   * replica has answered, does not change.
   *
   * @throws UnknownFingerprintError when the register has no entry for the fingerprint.
   * @throws NoQuorumError when this controller may lack committed changes.
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the change may still be committed.
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
   * Proposes changes; resolves with the number of those that changed the register.
   *
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the changes may still be committed.
   */
  async propose(changes: readonly QuarantineChange[]): Promise<number> {
    const command = sectionCommand(SectionTag.Quarantine, encodeQuarantineChanges(changes));
    const { result } = await this.options.log.propose(command);
    return decodeQuarantineOutcome(result);
  }

  /**
   * Suspected and quarantined requests, including every change acknowledged before the call.
   *
   * @throws NoQuorumError when this controller may lack committed changes.
   */
  async read(): Promise<readonly QuarantineEntry[]> {
    await this.options.log.readBarrier();
    return this.applied();
  }

  /** Suspected and quarantined requests in this controller's applied state, the latest change first. */
  applied(): readonly QuarantineEntry[] {
    return this.options.register
      .all()
      .filter(({ state }) => isActiveState(state) && state !== QuarantineState.Observed)
      .reverse();
  }
}
