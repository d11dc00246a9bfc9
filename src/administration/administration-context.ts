/** What the routes share: linearizable reads and proposals, with failures as typed errors. */
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import type { RecordedOutcome } from '../settings/change-outcome.js';
import {
  encodeCommand,
  MAXIMUM_COMMAND_BYTES,
  type ConfigurationCommand,
} from '../settings/configuration-command.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import { decodeOutcome } from '../settings/configuration-state-machine.js';
import type { AdministrationDependencies } from './administration-dependencies.js';
import { AdministrationError } from './administration-error.js';

/** When a controller without a quorum is worth asking again. Milliseconds. */
export const RETRY_AFTER_MS = 1_000;

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function isCertainlyNotRun(error: unknown): boolean {
  return error instanceof DriftwayError && error.hasLabel(ErrorLabel.NotRun);
}

/** One controller's administration. */
export class AdministrationContext {
  constructor(readonly dependencies: AdministrationDependencies) {}

  get machine(): AdministrationDependencies['machine'] {
    return this.dependencies.machine;
  }

  /**
   * Waits until everything accepted before the call is applied here.
   *
   * @throws AdministrationError `unavailable`.
   */
  async catchUp(): Promise<void> {
    try {
      await this.dependencies.log.readBarrier();
    } catch (error) {
      throw new AdministrationError('unavailable', 'confirm the leader', reasonOf(error), {
        retryAfterMs: RETRY_AFTER_MS,
        cause: error,
      });
    }
  }

  /** The configuration with everything accepted before the call. */
  async readConfiguration(): Promise<ConfigurationState> {
    await this.catchUp();
    return this.machine.current();
  }

  /**
   * Runs a command through the replicated log.
   *
   * @throws AdministrationError `too_large`, `unavailable` (nothing changed) or
   *   `outcome_unknown` (to be resent with the same change id).
   */
  async propose(command: ConfigurationCommand): Promise<RecordedOutcome> {
    const bytes = encodeCommand(command);
    if (bytes.length > MAXIMUM_COMMAND_BYTES) {
      const reason = `the change takes ${bytes.length} bytes of at most ${MAXIMUM_COMMAND_BYTES}`;
      throw new AdministrationError('too_large', 'propose', reason);
    }
    try {
      const { result } = await this.dependencies.log.propose(bytes);
      return decodeOutcome(result);
    } catch (error) {
      throw this.proposalError(command.request.changeId, error);
    }
  }

  private proposalError(changeId: string, error: unknown): AdministrationError {
    const details = { retryAfterMs: RETRY_AFTER_MS, cause: error };
    if (isCertainlyNotRun(error)) {
      return new AdministrationError('unavailable', 'propose', reasonOf(error), details);
    }
    const reason =
      `the answer was lost (${reasonOf(error)}); resend the same change with the same change id ` +
      `${changeId} to any controller to learn what became of it`;
    return new AdministrationError('outcome_unknown', 'propose', reason, {
      ...details,
      changed: 'unknown',
    });
  }
}
