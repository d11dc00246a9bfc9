/**
 * Merges the groups of shards of one remote zone into a single group for a relay. The relay, a
 * gateway of that zone, divides the shards among the leaves there and merges their reports. This
 * saves traffic between zones: with separate groups each group's request crosses between zones
 * once more, and so do reports of which the root drops nearly all records.
 */
import { rankByRendezvousHash, type LeafGateway } from '../directory/leaf-gateway.js';
import type { RootLocation } from './zone-selection.js';
import { SAME_ZONE_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';

/**
 * Minimum number of groups for a relay, which costs one more hop; fewer groups go directly to their
 * leaves.
 */
const MINIMUM_RELAYED_GROUPS = 3;

/** The root and the gateways to choose the relay from. */
export interface RelayOptions {
  readonly root: RootLocation;
  /** Zones in the root's order of preference; see `zone-selection.ts`. */
  readonly rankedZones: readonly string[];
  readonly leaves: readonly LeafGateway[];
}

/**
 * Returns `groups`, with the groups of a remote zone merged where it has at least
 * {@link MINIMUM_RELAYED_GROUPS} of them.
 */
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
  { root, rankedZones, leaves }: RelayOptions,
): LeafGroup {
  // Ranked by the root's name, so that every leaf of the zone relays for some roots.
  const ranked = rankByRendezvousHash(root.name, leaves, ({ name }) => name);
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
    // The first standby is in another zone, as the relay's zone may fail as a whole.
    leaves: [
      ...owners,
      ...(standby === undefined ? [] : [standby]),
      ...leavesInZone.slice(SAME_ZONE_GROUP_OWNERS),
      ...others,
    ],
  };
}
