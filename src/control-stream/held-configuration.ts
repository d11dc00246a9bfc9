/**
 * The configuration in force at a daemon. It is replaced only by a higher
 * revision, or by the source's content of the same revision when the two
 * differ.
 */
import type { AcceptedChange } from '../settings/accepted-change.js';
import { replayOperations } from '../settings/apply-operations.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { hashConfiguration } from './state-hash.js';
import { NO_REVISION } from './stream-messages.js';

/** Result of {@link HeldConfiguration.applySnapshot}. */
export type SnapshotOutcome =
  | 'applied'
  /** Ignored: the snapshot's revision is below the one in force. */
  | 'lower'
  /** Ignored: the same revision and content are already in force. */
  | 'equal'
  /** Applied: same revision with different content; the source's content replaced the daemon's. */
  | 'divergence_replaced'
  /** Rejected: the content does not match the source's hash. */
  | 'unreadable';

/** Result of {@link HeldConfiguration.applyDelta}. */
export type DeltaOutcome =
  | 'applied'
  /** Ignored: at or below the revision in force. */
  | 'known'
  /** Rejected: changes before it are missing. */
  | 'gap'
  /** Rejected: applying the change does not produce the source's content. */
  | 'divergence';

/** One accepted change as received, with the hash of the configuration after it. */
export interface ReceivedDelta {
  readonly change: AcceptedChange;
  readonly stateHash: string;
}

/** The revision in force and its hash; nothing is in force until the first snapshot. */
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

  /** Whether the source has the revision in force with different content. */
  divergesFrom(revision: number, stateHash: string): boolean {
    return revision === this.revision && stateHash !== this.hash;
  }

  /** Whether changes up to the source's `revision` are missing here. */
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
   * Returns undefined if the change cannot be applied, which means that the state
   * differs from the controllers', where it was applied. The result is not
   * validated again: the controllers did so, and the hash shows that it is equal.
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
