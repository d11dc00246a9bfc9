/**
 * Selects the zone whose gateways query a shard for a root, to reduce traffic between zones. A
 * large fan-out needs an answer from every shard, and for a shard queried in another zone both the
 * request and the answer cross between zones.
 */
import { rankByRendezvousHash } from '../directory/leaf-gateway.js';

/** Identifies a root and its zone. */
export interface RootLocation {
  /** Name of the gateway. */
  readonly name: string;
  readonly zone: string;
}

/**
 * Ranks `zones` for a root: its own zone first, the others by a hash of its name, so that the roots
 * of a zone spread remote shards over the other zones. The order is the same for all shards, so
 * that a root queries remote shards in few zones.
 */
export function rankZones({ name, zone }: RootLocation, zones: readonly string[]): string[] {
  const others = zones.filter((other) => other !== zone);
  const ranked = rankByRendezvousHash(name, others, (other) => other);
  return zones.includes(zone) ? [zone, ...ranked] : ranked;
}

/** Returns the first ranked zone with a replica, or the first ranked zone when none has one. */
export function selectZone(
  rankedZones: readonly string[],
  replicaZones: ReadonlySet<string>,
): string {
  return rankedZones.find((zone) => replicaZones.has(zone)) ?? rankedZones[0] ?? '';
}
