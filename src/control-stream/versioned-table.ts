/**
 * A table whose readers each keep their read position. Every entry has the
 * position of its last change, so that one table serves any number of readers
 * without a queue per reader.
 */

/** A value and the position of its last change. */
interface VersionedEntry<V> {
  readonly key: string;
  readonly position: number;
  readonly value: V;
}

/** Superseded changes allowed, beyond one per entry, before the log of changes is compacted. */
const SUPERSEDED_CHANGES_ALLOWANCE = 1_024;

/** Holds the latest value of each key and the order of changes. */
export class VersionedTable<V> {
  /** Ordered by position. */
  private readonly entries = new Map<string, VersionedEntry<V>>();
  /**
   * Ordered by position, including superseded changes; lets a reader visit only
   * what is new to it.
   */
  private changes: VersionedEntry<V>[] = [];
  private lastPosition = 0;

  constructor(
    /** Above this many keys, the one that has been unchanged for longest is evicted. */
    private readonly maximumEntries: number,
  ) {}

  /** Position of the newest change; 0 before the first. */
  get position(): number {
    return this.lastPosition;
  }

  get size(): number {
    return this.entries.size;
  }

  get(key: string): V | undefined {
    return this.entries.get(key)?.value;
  }

  put(key: string, value: V): void {
    this.lastPosition += 1;
    const entry = { key, position: this.lastPosition, value };
    // Deleting the key first keeps the map ordered by position.
    this.entries.delete(key);
    this.entries.set(key, entry);
    this.changes.push(entry);
    this.evictOldest();
    const mustCompact = this.changes.length > 2 * this.entries.size + SUPERSEDED_CHANGES_ALLOWANCE;
    if (mustCompact) this.changes = [...this.entries.values()];
  }

  remove(key: string): void {
    this.entries.delete(key);
  }

  values(): V[] {
    return [...this.entries.values()].map(({ value }) => value);
  }

  /** Current values that changed after `position`, oldest change first. */
  changedAfter(position: number): V[] {
    const changed: V[] = [];
    for (let index = this.firstChangeAfter(position); index < this.changes.length; index += 1) {
      const entry = this.changes[index] as VersionedEntry<V>;
      if (this.entries.get(entry.key) === entry) changed.push(entry.value);
    }
    return changed;
  }

  /** Index of the first change after `position`, found by binary search. */
  private firstChangeAfter(position: number): number {
    let low = 0;
    let high = this.changes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const isAfter = (this.changes[middle] as VersionedEntry<V>).position > position;
      if (isAfter) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  private evictOldest(): void {
    if (this.entries.size <= this.maximumEntries) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }
}
