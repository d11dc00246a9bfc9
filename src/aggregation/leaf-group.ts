/** Shards that are given to one leaf, and the leaves that may get them. */
import type { LeafGateway } from '../directory/leaf-gateway.js';

/**
 * First leaves of a group, which share its gathers; the others stand by. More of
 * them wait less for each other, and each sees less of what it could learn from.
 */
export const GROUP_OWNERS = 3;
/**
 * The same where each zone asks its own replicas: every zone has owners of every group then, and
 * with as many of them a replica would be connected to by several times as many gateways.
 */
export const SAME_ZONE_GROUP_OWNERS = 2;

/** See the module comment. */
export interface LeafGroup {
  /** Of its owners. */
  readonly zone: string;
  readonly shards: readonly string[];
  /** Whether its leaf has other leaves ask the shards; see `far-groups.ts`. */
  readonly isRelayed: boolean;
  /** First of the leaves, which share the group's gathers. */
  readonly owners: number;
  /** Leaves that may ask them, the best first: those of the zone of the replicas, then others. */
  readonly leaves: readonly LeafGateway[];
}
