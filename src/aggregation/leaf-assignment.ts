/**
 * Divides the shards of a route into groups and ranks the leaves that may query each group.
 * Gateways that know the same replicas and leaves compute the same result, so that few leaves hold
 * connections to a replica and see most of its requests. Where their views differ, the only cost
 * is additional connections.
 */
import { rankByRendezvousHash, type LeafGateway } from '../directory/leaf-gateway.js';
import type { ServiceTargets } from '../gateway/service-targets.js';
import { mergeRemoteGroups } from './relayed-groups.js';
import { ZoneBalance } from './zone-balance.js';
import { selectZone, rankZones, type RootLocation } from './zone-selection.js';
import { groupOwners, SAME_ZONE_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';

/**
 * Minimum age at which the groups are computed again when the number of replicas has changed: the
 * computation takes some milliseconds.
 */
const MINIMUM_REFRESH_INTERVAL_MS = 1_000;
/**
 * Age after which the groups are computed again in any case; a change of the leaves takes effect at
 * once.
 */
const MAXIMUM_REFRESH_INTERVAL_MS = 10_000;

interface CachedDivision {
  readonly computedAt: number;
  /** Number of replicas that were known. */
  readonly replicaCount: number;
  readonly leaves: readonly LeafGateway[];
  readonly division: Division;
}

/** The groups of a shard list, without and with relays. */
interface Division {
  /** Groups for the leaves that query the shards. */
  readonly direct: readonly LeafGroup[];
  /** The same groups, those for a relay merged. */
  readonly withRelays: readonly LeafGroup[];
}

/** Dependencies and settings of {@link LeafAssignment}. */
export interface LeafAssignmentOptions {
  readonly now: () => number;
  readonly targets: ServiceTargets;
  readonly leaves: () => readonly LeafGateway[];
  /** Maximum number of shards per group. */
  readonly shardsPerGroup: number;
  /** The root in whose zone shards are queried where possible; undefined: groups go to any zone. */
  readonly sameZoneAs?: RootLocation | undefined;
}

function nameOf({ name }: LeafGateway): string {
  return name;
}

/** Splits `items` into slices of nearly equal length, none longer than `maximumLength`. */
function splitEvenly<T>(items: readonly T[], maximumLength: number): T[][] {
  const count = Math.ceil(items.length / maximumLength);
  return Array.from({ length: count }, (_, index) =>
    items.slice(
      Math.round((index * items.length) / count),
      Math.round(((index + 1) * items.length) / count),
    ),
  );
}

/** Caches the groups of each shard list by the identity of its array. */
export class LeafAssignment {
  private readonly cache = new WeakMap<readonly string[], CachedDivision>();

  constructor(private readonly options: LeafAssignmentOptions) {}

  /**
   * Groups in which a root assigns the shards, relays included; empty while no leaf is known.
   * `shards` is a list of the route table, whose array identifies it in the cache.
   */
  groupsOf(shards: readonly string[]): readonly LeafGroup[] {
    return this.divisionOf(shards).withRelays;
  }

  /** The same groups without relays: each one is for the leaves that query its shards. */
  directGroupsOf(shards: readonly string[]): readonly LeafGroup[] {
    return this.divisionOf(shards).direct;
  }

  private divisionOf(shards: readonly string[]): Division {
    const now = this.options.now();
    const leaves = this.options.leaves();
    const known = this.cache.get(shards);
    if (known !== undefined && this.isCurrent(known, now, leaves)) return known.division;
    const division = this.divide(shards, leaves);
    const replicaCount = this.options.targets.size;
    this.cache.set(shards, { computedAt: now, replicaCount, leaves, division });
    return division;
  }

  private isCurrent(known: CachedDivision, now: number, leaves: readonly LeafGateway[]): boolean {
    if (known.leaves !== leaves) return false;
    const isSame = known.replicaCount === this.options.targets.size;
    return (
      now - known.computedAt < (isSame ? MAXIMUM_REFRESH_INTERVAL_MS : MINIMUM_REFRESH_INTERVAL_MS)
    );
  }

  private divide(shards: readonly string[], leaves: readonly LeafGateway[]): Division {
    if (leaves.length === 0) return { direct: [], withRelays: [] };
    const zones = [...new Set(leaves.map(({ zone }) => zone))];
    const { sameZoneAs: rootLocation } = this.options;
    if (rootLocation === undefined) {
      const groups = this.divideOverZones(shards, leaves, zones);
      return { direct: groups, withRelays: groups };
    }
    const rankedZones = rankZones(rootLocation, zones);
    const direct = this.divideBySameZone(shards, leaves, rankedZones);
    return {
      direct,
      withRelays: mergeRemoteGroups(direct, { root: rootLocation, rankedZones, leaves }),
    };
  }

  private divideOverZones(
    shards: readonly string[],
    leaves: readonly LeafGateway[],
    zones: readonly string[],
  ): LeafGroup[] {
    const balance = new ZoneBalance(shards, zones, (shard) => this.replicaZonesOf(shard));
    return [...balance.divide()].flatMap(([zone, group]) => {
      const parts = splitEvenly(group, this.options.shardsPerGroup);
      const leavesInZone = leaves.filter((leaf) => leaf.zone === zone).length;
      return this.assignLeaves(zone, parts, leaves, (index) =>
        groupOwners(index, parts.length, leavesInZone),
      );
    });
  }

  /**
   * All roots split the list into the same parts, whatever their zone; each zone gets the shards of
   * a part for which it has replicas. The loss of a replica therefore moves only its own shard, and
   * a relay can divide the shards that it gets from other zones by the groups of its own zone.
   */
  private divideBySameZone(
    shards: readonly string[],
    leaves: readonly LeafGateway[],
    rankedZones: readonly string[],
  ): LeafGroup[] {
    const parts = splitEvenly([...shards].sort(), this.options.shardsPerGroup);
    const zoneByShard = new Map(
      shards.map((shard) => [shard, selectZone(rankedZones, this.replicaZonesOf(shard))]),
    );
    const zones = rankedZones.filter((zone) => [...zoneByShard.values()].includes(zone));
    return zones.flatMap((zone) =>
      this.assignLeaves(zone, parts, leaves, () => SAME_ZONE_GROUP_OWNERS)
        .map((group) => ({
          ...group,
          shards: group.shards.filter((shard) => zoneByShard.get(shard) === zone),
        }))
        .filter((group) => group.shards.length > 0),
    );
  }

  /** Makes a leaf the owner of a second group only when there are too few leaves for all groups. */
  private assignLeaves(
    zone: string,
    parts: readonly (readonly string[])[],
    leaves: readonly LeafGateway[],
    ownersOf: (index: number) => number,
  ): LeafGroup[] {
    const ownedGroups = new Map<string, number>();
    return parts.map((part, index) => {
      const owners = ownersOf(index);
      const ranked = rankByRendezvousHash(`${zone} ${index}`, leaves, nameOf);
      const ownedGroupsOf = ({ name }: LeafGateway): number => ownedGroups.get(name) ?? 0;
      // The sort is stable: leaves that own equally many groups stay in the order of their rank.
      const leavesInZone = ranked.filter((leaf) => leaf.zone === zone);
      leavesInZone.sort((left, right) => ownedGroupsOf(left) - ownedGroupsOf(right));
      for (const leaf of leavesInZone.slice(0, owners))
        ownedGroups.set(leaf.name, ownedGroupsOf(leaf) + 1);
      const leavesElsewhere = ranked.filter((leaf) => leaf.zone !== zone);
      return {
        zone,
        shards: part,
        isRelayed: false,
        owners,
        leaves: [...leavesInZone, ...leavesElsewhere],
      };
    });
  }

  private replicaZonesOf(shard: string): ReadonlySet<string> {
    return new Set(this.options.targets.of(shard).map(({ entry }) => entry.zone));
  }
}
