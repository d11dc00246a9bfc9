/**
 * Lookup tables built from one version of the route document. Immutable: a request uses the same
 * table from start to end.
 */
import { TenantDirectory } from '../tenants/tenant-directory.js';
import type { CallerLimits, Route, RouteDocument, RoutedService } from './route-document.js';

/** Routes of one host, sorted by path prefix, the longest first. */
type RoutesOfHost = readonly Route[];

/** The ordered shards of one route, or of several routes with the same shards. */
export class ShardList {
  private readonly names: ReadonlySet<string>;

  constructor(readonly shards: string[]) {
    this.names = new Set(shards);
  }

  has(service: string): boolean {
    return this.names.has(service);
  }
}

/** Shard lists by {@link shardListKey}. */
type ShardListsByKey = ReadonlyMap<string, ShardList>;

function shardListKey(shards: readonly string[]): string {
  return shards.join('\n');
}

/**
 * Returns each distinct shard list once, reusing the equal list of `previous` where there is one.
 */
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

/** Gives the route the array of its shared list, so that caches keyed by that array are hit. */
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

function routedServices({ service, split = [] }: Route): readonly string[] {
  return [...(service === undefined ? [] : [service]), ...split.map((part) => part.service)];
}

/** Returns the host of a Host header without its port, in lower case. */
export function normalizeHost(hostHeader: string): string {
  return hostHeader.replace(/:\d+$/, '').toLowerCase();
}

/** Finds routes, services, shard lists and tenants. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /**
   * The distinct shard lists of all routes. A list that the previous table had too is the same
   * object with the same array, here and in the routes.
   */
  readonly shardLists: readonly ShardList[];
  /** Undefined when the document lists no tenants, so that requests need no API key. */
  readonly tenants: TenantDirectory | undefined;
  /** Whether requests of at least one route need an API key. */
  readonly needsKeys: boolean;
  private readonly shardListsByKey: ShardListsByKey;
  private readonly byHost: ReadonlyMap<string, RoutesOfHost>;
  private readonly shards: ReadonlySet<string>;
  private readonly routed: ReadonlySet<string>;
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
    this.routed = new Set(document.routes.flatMap((route) => routedServices(route)));
    this.services = new Map(document.services.map((service) => [service.name, service]));
  }

  /** Returns the route of the host with the longest prefix of `path`. */
  match(hostHeader: string, path: string): Route | undefined {
    const routes = this.byHost.get(normalizeHost(hostHeader));
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /**
   * Whether a route lists the service as a shard; also true for services that the document lacks.
   */
  isShard(name: string): boolean {
    return this.shards.has(name) || !this.services.has(name);
  }

  /** Whether a route sends requests to one replica of the service. */
  isRouted(name: string): boolean {
    return this.routed.has(name);
  }

  service(name: string): RoutedService | undefined {
    return this.services.get(name);
  }
}
