/**
 * Divides the shards of a route into groups, and ranks the leaves that may ask
 * each group. Gateways that know the same replicas and leaves compute the same,
 * so that few leaves hold connections to a replica and see most of its requests;
 * where they differ, only those connections are more.
 */
import { rankFor, type LeafGateway } from '../directory/leaf-gateway.js';
import type { ServiceTargets } from '../gateway/service-targets.js';
import { mergeRemoteGroups } from './relayed-groups.js';
import { selectZone, rankZones, type RootLocation } from './zone-selection.js';
import { GROUP_OWNERS, SAME_ZONE_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';

/**
 * Computed again when the leaves have changed, when the number of replicas has, at
 * most this often, and after the longest time anyway. It takes some milliseconds.
 */
const MINIMUM_REFRESH_INTERVAL_MS = 1_000;
const MAXIMUM_REFRESH_INTERVAL_MS = 10_000;

interface CachedDivision {
  readonly computedAt: number;
  /** Replicas that were known. */
  readonly replicaCount: number;
  readonly leaves: readonly LeafGateway[];
  readonly division: Division;
}

/** Both ways in which the shards of a list are given out. */
interface Division {
  /** Each group to the leaves that ask its shards. */
  readonly direct: readonly LeafGroup[];
  /** The same with groups joined that a relay is given. */
  readonly withRelays: readonly LeafGroup[];
}

/** What the assignment goes by. */
export interface LeafAssignmentOptions {
  readonly now: () => number;
  readonly targets: ServiceTargets;
  readonly leaves: () => readonly LeafGateway[];
  /** Most shards of a group. */
  readonly shardsPerGroup: number;
  /** Where the gateway stands whose groups are to be asked in its own zone; undefined: in any. */
  readonly sameZoneAs?: RootLocation | undefined;
}

function nameOf({ name }: LeafGateway): string {
  return name;
}

/** Cuts `items` into runs of nearly equal length, none longer than `longest`. */
function splitEvenly<T>(items: readonly T[], maximumLength: number): T[][] {
  const count = Math.ceil(items.length / maximumLength);
  return Array.from({ length: count }, (_, index) =>
    items.slice(
      Math.round((index * items.length) / count),
      Math.round(((index + 1) * items.length) / count),
    ),
  );
}

/** See the module comment. */
export class LeafAssignment {
  private readonly cache = new WeakMap<readonly string[], CachedDivision>();

  constructor(private readonly options: LeafAssignmentOptions) {}

  /**
   * Groups of the shards as a root gives them out; none while no leaf is known. `shards` is a
   * list of a route document.
   */
  groupsOf(shards: readonly string[]): readonly LeafGroup[] {
    return this.divisionOf(shards).withRelays;
  }

  /** The same, each group to the leaves that ask its shards. */
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
    this.cache.set(shards, { computedAt: now, replicaCount: replicaCount, leaves, division });
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
      withRelays: mergeRemoteGroups(direct, {
        root: rootLocation,
        rankedZones: rankedZones,
        leaves,
      }),
    };
  }

  private divideOverZones(
    shards: readonly string[],
    leaves: readonly LeafGateway[],
    zones: readonly string[],
  ): LeafGroup[] {
    const byZone = new Map<string, string[]>();
    for (const shard of shards) {
      const zone = this.hashToZone(shard, zones);
      const others = byZone.get(zone) ?? [];
      others.push(shard);
      byZone.set(zone, others);
    }
    return [...byZone].flatMap(([zone, group]) => {
      const parts = splitEvenly([...group].sort(), this.options.shardsPerGroup);
      return this.assignLeaves(zone, parts, leaves, GROUP_OWNERS);
    });
  }

  /**
   * All roots cut the list alike, whatever their zone; of each part a zone is given the shards that
   * it holds. A replica that is lost then moves its shard alone, and a relay divides the shards that
   * other zones ask of it by the groups of its own.
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
      this.assignLeaves(zone, parts, leaves, SAME_ZONE_GROUP_OWNERS)
        .map((group) => ({
          ...group,
          shards: group.shards.filter((shard) => zoneByShard.get(shard) === zone),
        }))
        .filter((group) => group.shards.length > 0),
    );
  }

  /** Owners of one group own another one only where there are fewer leaves than that takes. */
  private assignLeaves(
    zone: string,
    parts: readonly (readonly string[])[],
    leaves: readonly LeafGateway[],
    owners: number,
  ): LeafGroup[] {
    const ownedGroups = new Map<string, number>();
    return parts.map((part, index) => {
      const ranked = rankFor(`${zone} ${index}`, leaves, nameOf);
      const ownedGroupsOf = ({ name }: LeafGateway): number => ownedGroups.get(name) ?? 0;
      // The sort is stable: among leaves that own as many groups the rank decides.
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

  /** A zone with replicas of the shard and with leaves; any with leaves when there is none. */
  private hashToZone(shard: string, zones: readonly string[]): string {
    const zonesOfReplicas = this.replicaZonesOf(shard);
    const candidates = zones.filter((zone) => zonesOfReplicas.has(zone));
    return rankFor(shard, candidates.length > 0 ? candidates : zones, (zone) => zone)[0] ?? '';
  }

  private replicaZonesOf(shard: string): ReadonlySet<string> {
    return new Set(this.options.targets.of(shard).map(({ entry }) => entry.zone));
  }
}
