/**
 * Gateways that ask shards for others. Controllers name a bounded number in each
 * zone, so that few gateways hold connections to a replica, and what gateways are
 * told does not grow with the fleet.
 */
import { xxh64 } from '@node-rs/xxhash';

/** A gateway as controllers know it. */
export interface KnownGateway {
  readonly name: string;
  readonly zone: string;
  /** Where other gateways reach it, `host:port`; empty when it takes no gathers. */
  readonly address: string;
}

/** One that takes gathers of others: its address is not empty. */
export type LeafGateway = KnownGateway;

/**
 * Most leaves of a zone. A gateway of a third of a core carries some 250 requests
 * to replicas a second at a quarter of its time, so twelve carry 3,000 a zone.
 */
export const MAXIMUM_LEAVES_PER_ZONE = 12;

/** Rank of `candidate` for `subject` by rendezvous hashing: the highest come first. */
export function rendezvousHash(subject: string, candidate: string): bigint {
  return xxh64(`${subject} ${candidate}`);
}

/** `candidates`, the highest ranked for `subject` first. */
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

/** At most {@link MAXIMUM_LEAVES_PER_ZONE} of each zone; one that joins or goes changes no other's rank. */
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
