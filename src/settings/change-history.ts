/** The last accepted changes, bounded in number and in bytes. Part of the replicated state. */
import type { AcceptedChange } from './accepted-change.js';

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

  constructor(
    private readonly maximumChanges: number,
    private readonly maximumBytes: number,
  ) {}

  add(change: AcceptedChange): void {
    const size = JSON.stringify(change).length;
    this.entries.push({ change, size });
    this.bytes += size;
    while (this.isOverfull()) this.bytes -= this.entries.shift()?.size ?? 0;
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

  replace(changes: readonly AcceptedChange[]): void {
    this.entries = [];
    this.bytes = 0;
    for (const change of changes) this.add(change);
  }

  private isOverfull(): boolean {
    if (this.entries.length <= 1) return false;
    return this.entries.length > this.maximumChanges || this.bytes > this.maximumBytes;
  }
}
