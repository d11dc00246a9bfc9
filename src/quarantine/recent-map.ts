/** A map of bounded size, which evicts its oldest entry when it is full. */

/** Ordered by the last `set` of each key; reading an entry does not keep it from eviction. */
export class RecentMap<K, V> {
  private readonly entries = new Map<K, V>();

  constructor(private readonly maximumEntries: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key);
  }

  set(key: K, value: V): void {
    // Deletes first, so that the map stays in the order of the calls.
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maximumEntries) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  values(): IterableIterator<V> {
    return this.entries.values();
  }
}
