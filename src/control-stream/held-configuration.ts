/**
 * The configuration in force at a daemon, and the rule by which it moves: only
 * to a higher revision, or to the source's content of the same revision when
 * the two differ.
 */
import type { AcceptedChange } from '../settings/accepted-change.js';
import { replayOperations } from '../settings/apply-operations.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { hashConfiguration } from './state-hash.js';
import { NO_REVISION } from './stream-messages.js';

/** What became of an offered snapshot. */
export type SnapshotOutcome =
  | 'applied'
  /** The source holds less than the daemon. */
  | 'lower'
  /** Already in force. */
  | 'equal'
  /** Same revision, other content: the daemon took over the source's. */
  | 'divergence_replaced'
  /** The content is not what the source's hash says. */
  | 'unreadable';

/** What became of an offered change. */
export type DeltaOutcome =
  | 'applied'
  /** At or below the revision in force. */
  | 'known'
  /** Changes before it are missing. */
  | 'gap'
  /** Applying it did not give the source's content; it was not put in force. */
  | 'divergence';

/** One accepted change as received, with the hash the result must have. */
export interface ReceivedDelta {
  readonly change: AcceptedChange;
  readonly stateHash: string;
}

/** State of a daemon's copy. */
export class HeldConfiguration {
  private state: ConfigurationState | undefined;
  private hash = '';

  constructor(private readonly faults: ControlStreamFaults) {}

  current(): ConfigurationState | undefined {
    return this.state;
  }

  /** Revision in force, or {@link NO_REVISION}. */
  get revision(): number {
    return this.state?.revision ?? NO_REVISION;
  }

  /** Whether a source that holds `revision` with `stateHash` contradicts what is in force. */
  divergesFrom(revision: number, stateHash: string): boolean {
    return revision === this.revision && stateHash !== this.hash;
  }

  /** Whether a source at `revision` ought to have sent something by now. */
  isBehind(revision: number): boolean {
    return this.faults.applyLowerRevision === true
      ? revision !== this.revision
      : revision > this.revision;
  }

  applySnapshot(state: ConfigurationState, stateHash: string): SnapshotOutcome {
    if (hashConfiguration(state) !== stateHash) return 'unreadable';
    if (state.revision < this.revision && this.faults.applyLowerRevision !== true) return 'lower';
    if (state.revision === this.revision && stateHash === this.hash) return 'equal';
    const replaced = state.revision === this.revision;
    this.state = state;
    this.hash = stateHash;
    return replaced ? 'divergence_replaced' : 'applied';
  }

  applyDelta({ change, stateHash }: ReceivedDelta): DeltaOutcome {
    if (this.state === undefined) return 'gap';
    if (change.revision <= this.state.revision) return 'known';
    if (change.revision !== this.state.revision + 1) return 'gap';
    const next = this.applyChange(this.state, change);
    if (next === undefined || hashConfiguration(next) !== stateHash) return 'divergence';
    this.state = next;
    this.hash = stateHash;
    return 'applied';
  }

  /**
   * Undefined when the change does not fit, which it did at the controllers. They
   * also validated the whole result, and the hash shows that this is the same.
   */
  private applyChange(
    state: ConfigurationState,
    change: AcceptedChange,
  ): ConfigurationState | undefined {
    try {
      return replayOperations(state, change.operations);
    } catch {
      return undefined;
    }
  }
}
