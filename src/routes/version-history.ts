/**
 * When each version of the route document became known to this process, so that it can be told
 * since when somebody who has an older one lacks a newer one. That time is the oldest missing
 * version's: versions that follow do not put it off.
 */

/** Versions that follow within this time share an entry, with the time of the first. Milliseconds. */
const ENTRY_SPAN_MS = 50;
/** Entries that are kept: half a minute of changes without a pause. */
const MAXIMUM_ENTRIES = 600;

/** Some versions in a row. */
interface HistoryEntry {
  /** The newest of them. */
  version: number;
  /** When the first of them became known. Clock reading. */
  firstKnownAt: number;
}

/** See the module comment. */
export class VersionHistory {
  private readonly entries: HistoryEntry[] = [];

  /** A version has become known; one that is not newer than all before it is passed over. */
  record(version: number, now: number): void {
    const last = this.entries.at(-1);
    if (last !== undefined && version <= last.version) return;
    if (last !== undefined && now - last.firstKnownAt < ENTRY_SPAN_MS) {
      last.version = version;
      return;
    }
    this.entries.push({ version, firstKnownAt: now });
    if (this.entries.length > MAXIMUM_ENTRIES) this.mergeOldest();
  }

  /**
   * When the first version that is newer than `version` became known; undefined when there is
   * none. May be earlier by {@link ENTRY_SPAN_MS}, and by more for versions of long ago.
   */
  supersededAt(version: number): number | undefined {
    return this.entries.find((entry) => entry.version > version)?.firstKnownAt;
  }

  private mergeOldest(): void {
    const oldest = this.entries.shift();
    const next = this.entries[0];
    if (oldest !== undefined && next !== undefined) next.firstKnownAt = oldest.firstKnownAt;
  }
}
