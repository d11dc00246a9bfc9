/**
 * Records when each version of the route document became known to this process, to tell for how
 * long a peer with an older version has been out of date. That time starts with the oldest version
 * that the peer lacks; later versions do not reset it.
 */

/**
 * Versions that become known within this time share an entry, which has the time of the first one.
 */
const ENTRY_SPAN_MS = 50;
/** Entries that are kept: covers half a minute of continuous changes. */
const MAXIMUM_ENTRIES = 600;

/** One or more consecutive versions. */
interface HistoryEntry {
  /** The newest version of the entry. */
  version: number;
  /** When the first version of the entry became known. Clock reading. */
  firstKnownAt: number;
}

/** Bounded history; times are readings of the clock of this process. */
export class VersionHistory {
  private readonly entries: HistoryEntry[] = [];

  /** Records that a version became known. Ignores versions not newer than all recorded ones. */
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
   * Returns when the first version newer than `version` became known; undefined when there is
   * none. The result may be up to {@link ENTRY_SPAN_MS} early, and earlier still for old versions,
   * whose entries are merged.
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
