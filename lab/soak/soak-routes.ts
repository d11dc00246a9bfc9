/** The route documents of a run: versions that move a route, take keys away and lower a limit. */

export const HOST = 'desk.example';
export const PATHS = {
  repeatable: '/look-up/',
  atMostOnce: '/pay/',
  fanOut: '/search/',
  public: '/open/',
  slow: '/archive/',
} as const;
export const SINGLE_SERVICE = 'ledger';
/** Its replicas take {@link SLOW_WORK_MS} for a request, which may run once. */
export const SLOW_SERVICE = 'archive';
export const SLOW_WORK_MS = 900;
/** No route names it. */
export const RETIRED_SERVICE = 'retired';
export const SHARDS = ['shard-1', 'shard-2', 'shard-3', 'shard-4'] as const;
export const TENANTS = ['harbour', 'valley'] as const;
/** Records in an answer to many shards, and in each replica's answer. */
const TOP_RECORDS = 4;
const RECORD = 'record-of-16-b.\n';
/** What each replica answers: as many equal records as the answer to many shards has. */
export const REPLICA_CONTENT = RECORD.repeat(TOP_RECORDS);
const TIMEOUT_MS = 1_500;
const REQUIRED_COVERAGE = 0.5;
/** Far above what callers send, so that only a tenant that sends many times its usual reaches it. */
const REQUESTS_PER_SECOND = 40;

/** The key that a tenant has in a version: each version takes the key of the one before away. */
export function keyOf(tenant: string, version: number): string {
  return `key-of-${tenant}-in-${version}`;
}

/** As an operator sends it. */
export function routeDocument(version: number): string {
  const common = { host: HOST, timeoutMs: TIMEOUT_MS, maximumAttempts: 2 };
  const shards = { shards: SHARDS, topRecords: TOP_RECORDS, requiredCoverage: REQUIRED_COVERAGE };
  const single = { service: SINGLE_SERVICE };
  const repeatable = { execution: 'repeatable' };
  return JSON.stringify({
    version,
    routes: [
      { ...common, ...single, ...repeatable, name: 'look-up', pathPrefix: PATHS.repeatable },
      { ...common, ...single, name: 'pay', pathPrefix: PATHS.atMostOnce },
      { ...common, service: SLOW_SERVICE, name: 'archive', pathPrefix: PATHS.slow },
      { ...common, ...shards, ...repeatable, name: 'search', pathPrefix: PATHS.fanOut },
      { ...common, ...single, ...repeatable, name: 'open', pathPrefix: PATHS.public, public: true },
    ],
    services: [SINGLE_SERVICE, SLOW_SERVICE, ...SHARDS].map((name) => ({ name })),
    tenants: TENANTS.map((name) => ({
      name,
      // The key of the version before stays for one version, so that callers can change over.
      keys: [keyOf(name, version), keyOf(name, version - 1)],
      requestsPerSecond: REQUESTS_PER_SECOND,
      burst: REQUESTS_PER_SECOND,
    })),
  });
}
