/**
 * Joins groups of shards that are asked in one other zone into one, which a gateway of that zone
 * takes as a relay: it divides the shards among the leaves there and merges their reports. The
 * load that it answers: of the reports of separate groups nearly all records are dropped by the
 * root, after they have crossed between zones, and each group's request crosses once more.
 */
import { rankFor, type LeafGateway } from '../directory/leaf-gateway.js';
import type { RootPlace } from './group-home.js';
import { NEAR_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';

/** A relay is one more gateway on the way: fewer groups are handed to their leaves directly. */
const LEAST_RELAYED_GROUPS = 3;

/** What groups are joined by. */
export interface FarGroupsQuery {
  readonly root: RootPlace;
  /** Zones in the root's order of preference. */
  readonly preferred: readonly string[];
  readonly leaves: readonly LeafGateway[];
}

/** `groups` with those of another zone than the root's joined, where they are many. */
export function joinFarGroups(groups: readonly LeafGroup[], query: FarGroupsQuery): LeafGroup[] {
  const zones = [...new Set(groups.map(({ zone }) => zone))];
  return zones.flatMap((zone) => {
    const members = groups.filter((group) => group.zone === zone);
    const isFar = zone !== query.root.zone && members.length >= LEAST_RELAYED_GROUPS;
    return isFar ? [relayedGroup(zone, members, query)] : members;
  });
}

function relayedGroup(
  zone: string,
  members: readonly LeafGroup[],
  { root, preferred, leaves }: FarGroupsQuery,
): LeafGroup {
  // By the root's name: every leaf of the zone relays for some roots.
  const ranked = rankFor(root.name, leaves, ({ name }) => name);
  const near = ranked.filter((leaf) => leaf.zone === zone);
  const rest = ranked.filter((leaf) => leaf.zone !== zone && leaf.zone !== root.zone);
  const place = ({ zone: other }: LeafGateway): number => preferred.indexOf(other);
  rest.sort((left, right) => place(left) - place(right));
  const [standBy, ...others] = rest;
  const owners = near.slice(0, NEAR_GROUP_OWNERS);
  return {
    zone,
    shards: members.flatMap(({ shards }) => shards),
    isRelayed: true,
    owners: owners.length,
    // The first to stand by is of another zone: this one may be lost as a whole.
    leaves: [
      ...owners,
      ...(standBy === undefined ? [] : [standBy]),
      ...near.slice(NEAR_GROUP_OWNERS),
      ...others,
    ],
  };
}
