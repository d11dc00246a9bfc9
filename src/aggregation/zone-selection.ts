/**
 * Chooses the zone whose gateways ask a shard for a root, so that few bytes pass between zones.
 * The load that it answers: a request to many shards needs an answer of each, and a shard that is
 * asked in another zone costs bytes between zones for the request and for the answer.
 */
import { rankFor } from '../directory/leaf-gateway.js';

/** Where a root stands. */
export interface RootLocation {
  /** Name of the gateway. */
  readonly name: string;
  readonly zone: string;
}

/**
 * The zones in the order in which a root prefers them: its own, then the others by chance of its
 * name, so that the roots of a zone divide over the others what it lacks. One order for all
 * shards: what a root asks far is asked in few zones.
 */
export function rankZones({ name, zone }: RootLocation, zones: readonly string[]): string[] {
  const others = zones.filter((other) => other !== zone);
  const ranked = rankFor(name, others, (other) => other);
  return zones.includes(zone) ? [zone, ...ranked] : ranked;
}

/** The first of the `preferred` zones that is among `holders`; the first of all when none is. */
export function selectZone(
  rankedZones: readonly string[],
  replicaZones: ReadonlySet<string>,
): string {
  return rankedZones.find((zone) => replicaZones.has(zone)) ?? rankedZones[0] ?? '';
}
