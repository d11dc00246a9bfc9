/** Proposes changes of the quarantine register to the replicated log, and reads the register. */
import { readForCaller } from '../consensus/caller-barrier.js';
import { NotProposedError } from '../consensus/consensus-errors.js';
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import { SectionTag, sectionCommand } from '../consensus/sectioned-state-machine.js';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import { QuarantineState, isActiveState, type QuarantineEntry } from './quarantine-entry.js';
import {
  NO_EVIDENCE,
  QuarantineChangeKind,
  decodeQuarantineOutcome,
  encodeQuarantineChanges,
  type QuarantineChange,
  type QuarantineRegister,
} from './quarantine-register.js';

/** How often a lift is proposed when the entry changes in between. */
const MAXIMUM_ATTEMPTS = 10;

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
  readonly clock: Pick<Clock, 'sleep'>;
  readonly logger: Logger;
}

/** Every controller has one; operator calls and the evidence intake use it. */
export class QuarantineOrders {
  constructor(private readonly options: QuarantineOrdersOptions) {}

  /**
   * Lifts the quarantine or the suspicion of a request, which replicas then receive as any other;
   * resolves once the change is durable. An entry that is already lifted, or whose request a
   * replica has answered, does not change. A call that its caller has given up lifts nothing.
   *
   * @param caller - aborts when the caller closed its connection.
   * @throws UnknownFingerprintError when the register has no entry for the fingerprint.
   * @throws NoQuorumError when this controller may lack committed changes.
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the change may still be committed.
   */
  async lift(fingerprint: string, caller: AbortSignal): Promise<void> {
    const { log, clock, register, logger } = this.options;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      await readForCaller(log, clock, caller);
      const entry = register.find(fingerprint);
      if (entry === undefined) throw new UnknownFingerprintError(fingerprint);
      const isActive = isActiveState(entry.state);
      if (isActive && (await this.proposeLift(entry, caller)) === 0) continue;
      logger.info('quarantine lifted', { fingerprint, changed: isActive });
      return;
    }
    throw new NotProposedError('the evidence about the request changes too often');
  }

  /**
   * Proposes changes; resolves with the number of those that changed the register.
   *
   * @throws NotProposedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when the changes may still be committed.
   */
  async propose(changes: readonly QuarantineChange[], caller?: AbortSignal): Promise<number> {
    const command = sectionCommand(SectionTag.Quarantine, encodeQuarantineChanges(changes));
    const { result } = await this.options.log.propose(command, caller);
    return decodeQuarantineOutcome(result);
  }

  /** Lifts the entry unless it has changed; resolves with the number of changes that had an effect. */
  private proposeLift(
    { fingerprint, revision }: QuarantineEntry,
    caller: AbortSignal,
  ): Promise<number> {
    const kind = QuarantineChangeKind.ConditionalLift;
    return this.propose(
      [{ ...NO_EVIDENCE, kind, fingerprint, expectedRevision: revision }],
      caller,
    );
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
