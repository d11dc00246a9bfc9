/**
 * A table whose readers each remember how far they have read. Every entry
 * carries the position of its last change, so that one table serves any number
 * of readers without a queue for each.
 */

/** An entry and the position of its last change. */
export interface VersionedEntry<V> {
  readonly position: number;
  readonly value: V;
}

/** Latest value per key. */
export class VersionedTable<V> {
  private readonly entries = new Map<string, VersionedEntry<V>>();
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
    // Removing the key first keeps the map ordered by position.
    this.entries.delete(key);
    this.entries.set(key, { position: this.lastPosition, value });
    if (this.entries.size <= this.maximumEntries) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  remove(key: string): void {
    this.entries.delete(key);
  }

  values(): V[] {
    return [...this.entries.values()].map(({ value }) => value);
  }

  /** Values changed after `position`, oldest change first. */
  changedAfter(position: number): V[] {
    if (position >= this.lastPosition) return [];
    const changed: V[] = [];
    for (const entry of this.entries.values()) {
      if (entry.position > position) changed.push(entry.value);
    }
    return changed;
  }
}
