/** A group of shards that one leaf queries, and the candidate leaves. */
import type { LeafGateway } from '../directory/leaf-gateway.js';

/**
 * Number of owners of a group: its first leaves, which share its gathers; the others are standbys.
 * With more owners, gathers wait less for each other, but each owner sees fewer requests to learn
 * from.
 */
export const GROUP_OWNERS = 3;
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
