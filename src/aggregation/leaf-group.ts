/** A group of shards that one leaf queries, and the candidate leaves. */
import type { LeafGateway } from '../directory/leaf-gateway.js';

/**
 * Number of owners of a group where the leaves of its zone are few: its first leaves, which share its
 * gathers; the others are standbys.
 */
export const GROUP_OWNERS = 3;
/** Owners below {@link GROUP_OWNERS} where a leaf would own two groups otherwise. */
const MINIMUM_GROUP_OWNERS = 2;
/**
 * With more owners gathers wait hardly less for each other, while each owner has younger code, fewer requests to
 * learn from, and connections to the same replicas.
 */
export const MAXIMUM_GROUP_OWNERS = 5;
/**
 * Number of owners where each zone queries its own replicas. Every zone then has owners of every
 * group, so {@link GROUP_OWNERS} per zone would multiply the gateways connected to a replica.
 */
export const SAME_ZONE_GROUP_OWNERS = 2;

/** Computed by `LeafAssignment`. */
export interface LeafGroup {
  /** Zone of the group's owners. */
  readonly zone: string;
  readonly shards: readonly string[];
  /**
   * Whether the leaf acts as a relay, which has other leaves query the shards; see
   * `relayed-groups.ts`.
   */
  readonly isRelayed: boolean;
  /** Number of owners: the first of `leaves`, which share the group's gathers. */
  readonly owners: number;
  /**
   * Leaves that may query the shards, the best first: those of the replicas' zone, then others. In a
   * relayed group, the first standby is in another zone where there is one.
   */
  readonly leaves: readonly LeafGateway[];
}

/**
 * Number of owners of the group at `index` when the `leaves` of a zone are divided among its `groups`. All
 * leaves own one where possible: a gather waits for those before it at its leaf, and those of one request
 * come at once.
 */
export function groupOwners(index: number, groups: number, leaves: number): number {
  const before = Math.floor((index * leaves) / groups);
  const share = Math.floor(((index + 1) * leaves) / groups) - before;
  const minimum = groups > 1 && share >= MINIMUM_GROUP_OWNERS ? MINIMUM_GROUP_OWNERS : GROUP_OWNERS;
  return Math.min(Math.max(share, minimum), MAXIMUM_GROUP_OWNERS);
}
