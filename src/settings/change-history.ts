/** The last accepted changes, bounded in number and in bytes. Part of the replicated state. */
import type { AcceptedChange } from './accepted-change.js';
import { replayOperations } from './apply-operations.js';
import { EMPTY_CONFIGURATION, type ConfigurationState } from './configuration-state.js';

/** Most changes kept. At 2,000 changes a day this is two days. */
export const HISTORY_CHANGES = 4_096;
/** Most bytes kept, as JSON. The newest change is kept in any case. */
export const HISTORY_BYTES = 4 * 1_048_576;

interface HistoryEntry {
  readonly change: AcceptedChange;
  readonly size: number;
}

/** A run of consecutive revisions that ends with the newest. */
export class ChangeHistory {
  private entries: HistoryEntry[] = [];
  private bytes = 0;
  private base: ConfigurationState = EMPTY_CONFIGURATION;

  constructor(
    private readonly maximumChanges: number,
    private readonly maximumBytes: number,
  ) {}

  add(change: AcceptedChange): void {
    const size = JSON.stringify(change).length;
    this.entries.push({ change, size });
    this.bytes += size;
    while (this.isOverfull()) this.dropOldest();
  }

  /** The configuration before the oldest kept change. */
  oldestConfiguration(): ConfigurationState {
    return this.base;
  }

  /** The configuration of an earlier revision, or undefined when it is no longer kept. */
  configurationAt(revision: number): ConfigurationState | undefined {
    const steps = revision - this.base.revision;
    if (steps < 0 || steps > this.entries.length) return undefined;
    return this.entries
      .slice(0, steps)
      .reduce((state, { change }) => replayOperations(state, change.operations), this.base);
  }

  /** Oldest first. */
  all(): AcceptedChange[] {
    return this.entries.map((entry) => entry.change);
  }

  /** The changes after `revision`, or undefined when some of them are no longer kept. */
  since(revision: number, current: number): AcceptedChange[] | undefined {
    if (revision > current) return undefined;
    const wanted = current - revision;
    if (wanted > this.entries.length) return undefined;
    return this.entries.slice(this.entries.length - wanted).map((entry) => entry.change);
  }

  replace(base: ConfigurationState, changes: readonly AcceptedChange[]): void {
    this.base = base;
    this.entries = [];
    this.bytes = 0;
    for (const change of changes) this.add(change);
  }

  private dropOldest(): void {
    const oldest = this.entries.shift();
    if (oldest === undefined) return;
    this.bytes -= oldest.size;
    this.base = replayOperations(this.base, oldest.change.operations);
  }

  private isOverfull(): boolean {
    if (this.entries.length <= 1) return false;
    return this.entries.length > this.maximumChanges || this.bytes > this.maximumBytes;
  }
}
