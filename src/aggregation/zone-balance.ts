/**
 * Divides shards over the zones whose leaves query them, equally many for each: a fan-out is as late
 * as its slowest leaf, so the leaves of one zone must not carry more than others. All gateways that
 * know the same replicas compute the same result.
 */
import { rankByRendezvousHash } from '../directory/leaf-gateway.js';

/** Divides a list of shards; used once per list. */
export class ZoneBalance {
  private readonly shardsByZone: ReadonlyMap<string, Set<string>>;
  /** Number of shards of a zone above which it has no room. */
  private readonly capacity: number;

  constructor(
    private readonly shards: readonly string[],
    /** Zones with leaves. */
    private readonly zones: readonly string[],
    private readonly replicaZonesOf: (shard: string) => ReadonlySet<string>,
  ) {
    this.shardsByZone = new Map([...zones].sort().map((zone) => [zone, new Set<string>()]));
    this.capacity = Math.ceil(shards.length / zones.length);
  }

  /** Returns the sorted shards of each zone that has any. */
  divide(): ReadonlyMap<string, readonly string[]> {
    for (const shard of [...this.shards].sort()) {
      const ranked = this.rankZones(shard);
      this.shardsOf(ranked.find((zone) => this.hasRoom(zone)) ?? ranked[0] ?? '').add(shard);
    }
    for (const zone of this.shardsByZone.keys()) this.relieve(zone);
    const divided = [...this.shardsByZone].filter(([, shards]) => shards.size > 0);
    return new Map(divided.map(([zone, shards]) => [zone, [...shards].sort()]));
  }

  /** Moves shards beyond the zone's capacity to zones that have replicas of them and room. */
  private relieve(zone: string): void {
    const shards = this.shardsOf(zone);
    for (const shard of [...shards]) {
      if (shards.size <= this.capacity) return;
      const other = this.rankZones(shard).find((candidate) => this.hasRoom(candidate));
      if (other === undefined) continue;
      shards.delete(shard);
      this.shardsOf(other).add(shard);
    }
  }

  /** Zones with replicas of the shard, or all zones when there are none, the preferred one first. */
  private rankZones(shard: string): readonly string[] {
    const zonesOfReplicas = this.replicaZonesOf(shard);
    const candidates = this.zones.filter((zone) => zonesOfReplicas.has(zone));
    return rankByRendezvousHash(
      shard,
      candidates.length > 0 ? candidates : this.zones,
      (zone) => zone,
    );
  }

  private hasRoom(zone: string): boolean {
    return this.shardsOf(zone).size < this.capacity;
  }

  private shardsOf(zone: string): Set<string> {
    return this.shardsByZone.get(zone) ?? new Set();
  }
}
