/**
 * Divides the shards of a route into groups, and ranks the leaves that may ask
 * each group. Gateways that know the same replicas and leaves compute the same,
 * so that few leaves hold connections to a replica and see most of its requests;
 * where they differ, only those connections are more.
 */
import { rankFor, type LeafGateway } from '../directory/leaf-gateway.js';
import type { ServiceTargets } from '../gateway/service-targets.js';
import { joinFarGroups } from './far-groups.js';
import { homeOf, preferZones, type RootPlace } from './group-home.js';
import { GROUP_OWNERS, NEAR_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';

/**
 * Computed again when the leaves have changed, when the number of replicas has, at
 * most this often, and after the longest time anyway. It takes some milliseconds.
 */
const SHORTEST_REFRESH_MS = 1_000;
const LONGEST_REFRESH_MS = 10_000;

interface CachedGroups {
  readonly computedAt: number;
  /** Replicas that were known. */
  readonly replicas: number;
  readonly leaves: readonly LeafGateway[];
  readonly division: Division;
}

/** Both ways in which the shards of a list are given out. */
interface Division {
  /** Each group to the leaves that ask its shards. */
  readonly direct: readonly LeafGroup[];
  /** The same with groups joined that a relay is given. */
  readonly joined: readonly LeafGroup[];
}

/** What the assignment goes by. */
export interface LeafAssignmentSources {
  readonly now: () => number;
  readonly targets: ServiceTargets;
  readonly leaves: () => readonly LeafGateway[];
  /** Most shards of a group. */
  readonly shardsPerGroup: number;
  /** Where the gateway stands whose groups are to be asked in its own zone; undefined: in any. */
  readonly nearTo?: RootPlace | undefined;
}

function nameOf({ name }: LeafGateway): string {
  return name;
}

/** Cuts `items` into runs of nearly equal length, none longer than `longest`. */
function cutEvenly<T>(items: readonly T[], longest: number): T[][] {
  const count = Math.ceil(items.length / longest);
  return Array.from({ length: count }, (_, index) =>
    items.slice(
      Math.round((index * items.length) / count),
      Math.round(((index + 1) * items.length) / count),
    ),
  );
}

/** See the module comment. */
export class LeafAssignment {
  private readonly cache = new WeakMap<readonly string[], CachedGroups>();

  constructor(private readonly sources: LeafAssignmentSources) {}

  /**
   * Groups of the shards as a root gives them out; none while no leaf is known. `shards` is a
   * list of a route document.
   */
  groupsOf(shards: readonly string[]): readonly LeafGroup[] {
    return this.divisionOf(shards).joined;
  }

  /** The same, each group to the leaves that ask its shards. */
  directGroupsOf(shards: readonly string[]): readonly LeafGroup[] {
    return this.divisionOf(shards).direct;
  }

  private divisionOf(shards: readonly string[]): Division {
    const now = this.sources.now();
    const leaves = this.sources.leaves();
    const known = this.cache.get(shards);
    if (known !== undefined && this.isCurrent(known, now, leaves)) return known.division;
    const division = this.divide(shards, leaves);
    const replicas = this.sources.targets.size;
    this.cache.set(shards, { computedAt: now, replicas, leaves, division });
    return division;
  }

  private isCurrent(known: CachedGroups, now: number, leaves: readonly LeafGateway[]): boolean {
    if (known.leaves !== leaves) return false;
    const isSame = known.replicas === this.sources.targets.size;
    return now - known.computedAt < (isSame ? LONGEST_REFRESH_MS : SHORTEST_REFRESH_MS);
  }

  private divide(shards: readonly string[], leaves: readonly LeafGateway[]): Division {
    if (leaves.length === 0) return { direct: [], joined: [] };
    const zones = [...new Set(leaves.map(({ zone }) => zone))];
    const { nearTo } = this.sources;
    if (nearTo === undefined) {
      const groups = this.divideAnywhere(shards, leaves, zones);
      return { direct: groups, joined: groups };
    }
    const preferred = preferZones(nearTo, zones);
    const direct = this.divideNear(shards, leaves, preferred);
    return { direct, joined: joinFarGroups(direct, { root: nearTo, preferred, leaves }) };
  }

  private divideAnywhere(
    shards: readonly string[],
    leaves: readonly LeafGateway[],
    zones: readonly string[],
  ): LeafGroup[] {
    const byZone = new Map<string, string[]>();
    for (const shard of shards) {
      const zone = this.homeOf(shard, zones);
      const others = byZone.get(zone) ?? [];
      others.push(shard);
      byZone.set(zone, others);
    }
    return [...byZone].flatMap(([zone, group]) => {
      const parts = cutEvenly([...group].sort(), this.sources.shardsPerGroup);
      return this.assign(zone, parts, leaves, GROUP_OWNERS);
    });
  }

  /**
   * All roots cut the list alike, whatever their zone; of each part a zone is given the shards that
   * it holds. A replica that is lost then moves its shard alone, and a relay divides the shards that
   * other zones ask of it by the groups of its own.
   */
  private divideNear(
    shards: readonly string[],
    leaves: readonly LeafGateway[],
    preferred: readonly string[],
  ): LeafGroup[] {
    const parts = cutEvenly([...shards].sort(), this.sources.shardsPerGroup);
    const homes = new Map(shards.map((shard) => [shard, homeOf(preferred, this.zonesOf(shard))]));
    const zones = preferred.filter((zone) => [...homes.values()].includes(zone));
    return zones.flatMap((zone) =>
      this.assign(zone, parts, leaves, NEAR_GROUP_OWNERS)
        .map((group) => ({
          ...group,
          shards: group.shards.filter((shard) => homes.get(shard) === zone),
        }))
        .filter((group) => group.shards.length > 0),
    );
  }

  /** Owners of one group own another one only where there are fewer leaves than that takes. */
  private assign(
    zone: string,
    parts: readonly (readonly string[])[],
    leaves: readonly LeafGateway[],
    owners: number,
  ): LeafGroup[] {
    const owned = new Map<string, number>();
    return parts.map((part, index) => {
      const ranked = rankFor(`${zone} ${index}`, leaves, nameOf);
      const groupsOf = ({ name }: LeafGateway): number => owned.get(name) ?? 0;
      // The sort is stable: among leaves that own as many groups the rank decides.
      const near = ranked.filter((leaf) => leaf.zone === zone);
      near.sort((left, right) => groupsOf(left) - groupsOf(right));
      for (const leaf of near.slice(0, owners)) owned.set(leaf.name, groupsOf(leaf) + 1);
      const far = ranked.filter((leaf) => leaf.zone !== zone);
      return { zone, shards: part, isRelayed: false, owners, leaves: [...near, ...far] };
    });
  }

  /** A zone with replicas of the shard and with leaves; any with leaves when there is none. */
  private homeOf(shard: string, zones: readonly string[]): string {
    const zonesOfReplicas = this.zonesOf(shard);
    const near = zones.filter((zone) => zonesOfReplicas.has(zone));
    return rankFor(shard, near.length > 0 ? near : zones, (zone) => zone)[0] ?? '';
  }

  private zonesOf(shard: string): ReadonlySet<string> {
    return new Set(this.sources.targets.of(shard).map(({ entry }) => entry.zone));
  }
}
