/**
 * Leaf gateways, which query shards on behalf of other gateways. Controllers choose a bounded number
 * in each zone, so that few gateways hold connections to a replica and the list that gateways are
 * sent does not grow with the fleet.
 */
import { xxh64 } from '@node-rs/xxhash';

/** A gateway as known to controllers. */
export interface KnownGateway {
  readonly name: string;
  readonly zone: string;
  /** `host:port` at which the gateway accepts gathers from other gateways; empty if it accepts none. */
  readonly address: string;
}

/** A gateway that accepts gathers from other gateways: its address is not empty. */
export type LeafGateway = KnownGateway;

/**
 * Most leaf gateways in a zone. A young gateway spends about a millisecond of processor time on a request
 * to a replica, so one with a third of a core serves some 80 per second with a quarter of its processor time,
 * and 36 serve 3,000 per second and zone.
 */
export const MAXIMUM_LEAVES_PER_ZONE = 36;

/** Rendezvous hash of `candidate` for `subject`; a higher hash is preferred. */
export function rendezvousHash(subject: string, candidate: string): bigint {
  return xxh64(`${subject} ${candidate}`);
}

/** Returns `candidates` ordered by their rendezvous hash for `subject`, highest first. */
export function rankByRendezvousHash<T>(
  subject: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): T[] {
  return candidates
    .map((candidate) => ({ candidate, rank: rendezvousHash(subject, nameOf(candidate)) }))
    .sort((left, right) => (left.rank < right.rank ? 1 : -1))
    .map(({ candidate }) => candidate);
}

/**
 * Chooses at most {@link MAXIMUM_LEAVES_PER_ZONE} gateways in each zone. A gateway that joins or
 * leaves does not change the order of the others.
 */
export function chooseLeaves(gateways: Iterable<KnownGateway>): LeafGateway[] {
  const byZone = new Map<string, LeafGateway[]>();
  for (const gateway of gateways) {
    if (gateway.address === '') continue;
    const others = byZone.get(gateway.zone) ?? [];
    others.push(gateway);
    byZone.set(gateway.zone, others);
  }
  return [...byZone].flatMap(([zone, group]) =>
    rankByRendezvousHash(zone, group, ({ name }) => name).slice(0, MAXIMUM_LEAVES_PER_ZONE),
  );
}
