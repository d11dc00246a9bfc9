/** One version of the routes, ready for look-ups. Immutable: a request keeps the table it began with. */
import { TenantDirectory } from '../tenants/tenant-directory.js';
import type { CallerLimits, Route, RouteDocument, RoutedService } from './route-document.js';

/** The routes of one host, those with the longest prefix first. */
type RoutesOfHost = readonly Route[];

/** The shards of one or more routes. */
export class ShardList {
  private readonly names: ReadonlySet<string>;

  constructor(readonly shards: string[]) {
    this.names = new Set(shards);
  }

  has(service: string): boolean {
    return this.names.has(service);
  }
}

/** The lists of shards by their names; see {@link RouteTable.shardLists}. */
type ShardListsByKey = ReadonlyMap<string, ShardList>;

function shardListKey(shards: readonly string[]): string {
  return shards.join('\n');
}

/** Each list once, also where several routes name it; the one of `before` where it is the same. */
function deduplicateShardLists(
  routes: readonly Route[],
  previous: ShardListsByKey,
): ShardListsByKey {
  const lists = new Map<string, ShardList>();
  for (const { shards } of routes) {
    if (shards === undefined) continue;
    const key = shardListKey(shards);
    if (!lists.has(key)) lists.set(key, previous.get(key) ?? new ShardList(shards));
  }
  return lists;
}

/** The route with the array of its list of shards, so that what is kept by that array is found. */
function withSharedShardList(route: Route, lists: ShardListsByKey): Route {
  if (route.shards === undefined) return route;
  const list = lists.get(shardListKey(route.shards));
  return list === undefined ? route : { ...route, shards: list.shards };
}

function groupByHost(routes: readonly Route[]): Map<string, Route[]> {
  const groups = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const group = groups.get(host) ?? [];
    group.push(route);
    groups.set(host, group);
  }
  return groups;
}

/** The host without a port, in lower case. */
export function normalizeHost(hostHeader: string): string {
  return hostHeader.replace(/:\d+$/, '').toLowerCase();
}

/** See the module comment. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /**
   * The different lists of shards that routes name. A list that the table before had is the
   * same object, with the same array, here and in its routes.
   */
  readonly shardLists: readonly ShardList[];
  /** Undefined where requests need no API key. */
  readonly tenants: TenantDirectory | undefined;
  /** Whether requests of some route need an API key. */
  readonly needsKeys: boolean;
  private readonly shardListsByKey: ShardListsByKey;
  private readonly byHost: ReadonlyMap<string, RoutesOfHost>;
  private readonly shards: ReadonlySet<string>;
  private readonly services: ReadonlyMap<string, RoutedService>;

  constructor(document: RouteDocument, previous?: RouteTable) {
    this.version = document.version;
    this.limits = document.limits;
    this.tenants =
      document.tenants && TenantDirectory.createOrReuse(document.tenants, previous?.tenants);
    this.needsKeys = this.tenants !== undefined && document.routes.some((route) => !route.public);
    this.shardListsByKey = deduplicateShardLists(
      document.routes,
      previous?.shardListsByKey ?? new Map(),
    );
    this.shardLists = [...this.shardListsByKey.values()];
    const routes = document.routes.map((route) => withSharedShardList(route, this.shardListsByKey));
    const groups = groupByHost(routes);
    for (const group of groups.values()) {
      group.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    this.byHost = groups;
    this.shards = new Set(document.routes.flatMap(({ shards = [] }) => shards));
    this.services = new Map(document.services.map((service) => [service.name, service]));
  }

  /** The route of the host with the longest prefix that begins the path. */
  match(hostHeader: string, path: string): Route | undefined {
    const routes = this.byHost.get(normalizeHost(hostHeader));
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Whether a route asks the service as one shard of several; true for a service of no route yet. */
  isShard(name: string): boolean {
    return this.shards.has(name) || !this.services.has(name);
  }

  service(name: string): RoutedService | undefined {
    return this.services.get(name);
  }
}
