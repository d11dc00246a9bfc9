/**
 * Chooses the zone whose gateways ask a group of shards for a root, so that few bytes pass
 * between zones. The load that it answers: each request to many shards needs an answer of every
 * group, and a group that is asked in another zone costs a request and a report between zones.
 */
import { rankFor } from '../directory/leaf-gateway.js';

/**
 * A zone that lacks replicas of no more than this part of a group's shards still asks it: to ask
 * another zone's replicas of those costs fewer bytes than to hand the whole group over.
 */
const LACKING_PART = 0.5;

/** Where a root stands. */
export interface RootPlace {
  /** Name of the gateway. */
  readonly name: string;
  readonly zone: string;
}

/**
 * The zones in the order in which a root prefers them: its own, then the others by chance of its
 * name, so that the roots of a zone without replicas divide their load over the others. One order
 * for all groups: all that a root asks far is then asked in one zone.
 */
export function preferZones({ name, zone }: RootPlace, zones: readonly string[]): string[] {
  const others = zones.filter((other) => other !== zone);
  const ranked = rankFor(name, others, (other) => other);
  return zones.includes(zone) ? [zone, ...ranked] : ranked;
}

/**
 * The first of the `preferred` zones that holds replicas of enough of the shards; else the one that
 * holds those of the most. `zonesOf` gives the zones with usable replicas of a shard.
 */
export function homeOfGroup(
  shards: readonly string[],
  preferred: readonly string[],
  zonesOf: (shard: string) => ReadonlySet<string>,
): string {
  const held = new Map(preferred.map((zone) => [zone, 0]));
  for (const shard of shards) {
    for (const zone of zonesOf(shard)) {
      const count = held.get(zone);
      if (count !== undefined) held.set(zone, count + 1);
    }
  }
  const enough = shards.length * (1 - LACKING_PART);
  const counts = [...held];
  const first = counts.find(([, count]) => count >= enough && count > 0);
  const most = counts.reduce((best, other) => (other[1] > best[1] ? other : best), ['', -1]);
  return (first ?? most)[0];
}
