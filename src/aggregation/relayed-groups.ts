/**
 * Joins groups of shards that are asked in one other zone into one, which a gateway of that zone
 * takes as a relay: it divides the shards among the leaves there and merges their reports. The
 * load that it answers: of the reports of separate groups nearly all records are dropped by the
 * root, after they have crossed between zones, and each group's request crosses once more.
 */
import { rankFor, type LeafGateway } from '../directory/leaf-gateway.js';
import type { RootLocation } from './zone-selection.js';
import { SAME_ZONE_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';

/** A relay is one more gateway on the way: fewer groups are handed to their leaves directly. */
const MINIMUM_RELAYED_GROUPS = 3;

/** What groups are joined by. */
export interface RelayOptions {
  readonly root: RootLocation;
  /** Zones in the root's order of preference. */
  readonly rankedZones: readonly string[];
  readonly leaves: readonly LeafGateway[];
}

/** `groups` with those of another zone than the root's joined, where they are many. */
export function mergeRemoteGroups(
  groups: readonly LeafGroup[],
  options: RelayOptions,
): LeafGroup[] {
  const zones = [...new Set(groups.map(({ zone }) => zone))];
  return zones.flatMap((zone) => {
    const members = groups.filter((group) => group.zone === zone);
    const needsRelay = zone !== options.root.zone && members.length >= MINIMUM_RELAYED_GROUPS;
    return needsRelay ? [createRelayedGroup(zone, members, options)] : members;
  });
}

function createRelayedGroup(
  zone: string,
  members: readonly LeafGroup[],
  { root, rankedZones: rankedZones, leaves }: RelayOptions,
): LeafGroup {
  // By the root's name: every leaf of the zone relays for some roots.
  const ranked = rankFor(root.name, leaves, ({ name }) => name);
  const leavesInZone = ranked.filter((leaf) => leaf.zone === zone);
  const leavesElsewhere = ranked.filter((leaf) => leaf.zone !== zone && leaf.zone !== root.zone);
  const zoneRank = ({ zone: other }: LeafGateway): number => rankedZones.indexOf(other);
  leavesElsewhere.sort((left, right) => zoneRank(left) - zoneRank(right));
  const [standby, ...others] = leavesElsewhere;
  const owners = leavesInZone.slice(0, SAME_ZONE_GROUP_OWNERS);
  return {
    zone,
    shards: members.flatMap(({ shards }) => shards),
    isRelayed: true,
    owners: owners.length,
    // The first to stand by is of another zone: this one may be lost as a whole.
    leaves: [
      ...owners,
      ...(standby === undefined ? [] : [standby]),
      ...leavesInZone.slice(SAME_ZONE_GROUP_OWNERS),
      ...others,
    ],
  };
}
