/**
 * A table whose readers each remember how far they have read. Every entry
 * carries the position of its last change, so that one table serves any number
 * of readers without a queue for each.
 */

/** A value and the position of its last change. */
interface VersionedEntry<V> {
  readonly key: string;
  readonly position: number;
  readonly value: V;
}

/** Superseded changes kept before they are dropped, besides one for each entry. */
const MAXIMUM_SUPERSEDED_CHANGES = 1_024;

/** Latest value per key. */
export class VersionedTable<V> {
  /** In the order of their positions. */
  private readonly entries = new Map<string, VersionedEntry<V>>();
  /** By position, superseded ones among them: a reader looks only at what is new to it. */
  private changes: VersionedEntry<V>[] = [];
  private lastPosition = 0;

  constructor(
    /** Past this many keys the one unchanged for longest is dropped. */
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
    // Removing the key first keeps the map ordered by position.
    this.entries.delete(key);
    this.entries.set(key, entry);
    this.changes.push(entry);
    this.evictOldest();
    const mustCompact = this.changes.length > 2 * this.entries.size + MAXIMUM_SUPERSEDED_CHANGES;
    if (mustCompact) this.changes = [...this.entries.values()];
  }

  remove(key: string): void {
    this.entries.delete(key);
  }

  values(): V[] {
    return [...this.entries.values()].map(({ value }) => value);
  }

  /** Values changed after `position`, oldest change first. */
  changedAfter(position: number): V[] {
    const changed: V[] = [];
    for (let index = this.firstChangeAfter(position); index < this.changes.length; index += 1) {
      const entry = this.changes[index] as VersionedEntry<V>;
      if (this.entries.get(entry.key) === entry) changed.push(entry.value);
    }
    return changed;
  }

  /** Index within the changes, by bisection. */
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
