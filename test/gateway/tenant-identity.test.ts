import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import type { HttpHeaders } from '../../src/seams/http.js';
import {
  GatewayHarness,
  HOST,
  textOf,
  type GatewayOverrides,
  type TestRoute,
} from './gateway-harness.js';

const { apiKey: KEY, tenant: TENANT, requestId: ID } = DEFAULT_EXCHANGE_HEADERS;
const SECRET = 'secret-of-the-orchard';
const TENANTS = [
  { name: 'orchard', keys: [SECRET, 'second-secret'] },
  { name: 'mill', keys: ['secret-of-the-mill'] },
];
const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const CLAIMS = {
  [KEY]: SECRET,
  [TENANT]: 'mill',
  'X-Driftway-Tenant': 'mill',
  x_driftway_tenant: 'mill',
  x_driftway_api_key: SECRET,
  'x-other': 'kept',
};
/** Time within which gateways connect to each other. Milliseconds. */
const CONNECT_MS = 2_000;
const DEFAULT_SETTINGS: GatewayOverrides = {};

interface Fleet {
  readonly harness: GatewayHarness;
  readonly replicas: readonly ExchangeReplica[];
}

/** Starts a gateway with two replicas of each service that the route names. */
async function start(
  route: TestRoute,
  tenants: typeof TENANTS | 'none' = TENANTS,
  overrides = DEFAULT_SETTINGS,
): Promise<Fleet> {
  const harness = await GatewayHarness.start(7, overrides);
  const split = route.split?.map(({ service }) => service);
  const replicas: ExchangeReplica[] = [];
  for (const service of route.shards ?? split ?? [route.service ?? '']) {
    replicas.push(await harness.addReplica(service, service.padEnd(16, '.')));
    replicas.push(await harness.addReplica(service, service.padEnd(16, '.')));
  }
  await harness.putRoutes([route], tenants === 'none' ? undefined : tenants);
  await harness.simulation.runFor(CONNECT_MS);
  return { harness, replicas };
}

/** Headers of all requests that the replicas ran. */
function headersSeen({ replicas }: Fleet): HttpHeaders[] {
  return replicas.flatMap(({ runs }) => runs.map(({ headers }) => headers));
}

/** Number of runs beyond the first of the same request at the same service. */
function sentAgain({ replicas }: Fleet): number {
  const attempts = replicas.flatMap(({ options, runs }) =>
    runs.map(({ requestId }) => `${options.service} ${requestId}`),
  );
  return attempts.length - new Set(attempts).size;
}

/** Expects every request to name the tenant and to hold neither a key nor a claim of the caller. */
function expectIdentity(fleet: Fleet, tenant: string | undefined): void {
  const seen = headersSeen(fleet);
  expect(seen).not.toEqual([]);
  for (const headers of seen) {
    expect(headers[TENANT]).toBe(tenant);
    expect(headers['x-other']).toBe('kept');
    const others = Object.fromEntries(Object.entries(headers).filter(([name]) => name !== TENANT));
    expect(JSON.stringify(others)).not.toMatch(/secret|mill|orchard/);
    const names = Object.keys(others).map((name) => name.replaceAll('_', '-'));
    expect(names).not.toContain(KEY);
    expect(names).not.toContain(TENANT);
  }
}

/** Number of shard groups that the other gateways gathered for the first one. */
async function gathersOf({ others }: GatewayHarness): Promise<number> {
  const metrics = others.map(async ({ registry }) =>
    registry.getSingleMetric('driftway_gateway_gathers_total')?.get(),
  );
  const values = (await Promise.all(metrics)).flatMap((metric) => metric?.values ?? []);
  return values.reduce((sum, { value }) => sum + value, 0);
}

async function valueOf(harness: GatewayHarness, metric: string, reason: string): Promise<number> {
  const { values = [] } = (await harness.registry.getSingleMetric(metric)?.get()) ?? {};
  return values.find(({ labels }) => labels['reason'] === reason)?.value ?? 0;
}

describe('a request without a valid API key', () => {
  const wrong: readonly [string, HttpHeaders, string][] = [
    ['no key', {}, 'no API key'],
    ['an empty key', { [KEY]: '' }, 'no API key'],
    ['an unknown key', { [KEY]: 'stranger' }, 'no tenant holds this API key'],
    ['two keys that were joined', { [KEY]: `${SECRET}, ${SECRET}` }, 'no tenant holds'],
    ['a key in another case', { [KEY]: SECRET.toUpperCase() }, 'no tenant holds'],
    ['a key of thousands of characters', { [KEY]: 'k'.repeat(10_000) }, 'no tenant holds'],
    ['the name of a tenant alone', { [TENANT]: 'orchard' }, 'no API key'],
  ];
  it('gets 401, reaches no replica, and leaves its key out of responses and log lines', async () => {
    const fleet = await start({ pathPrefix: '/one/', service: 'one' });
    const { harness } = fleet;
    for (const [, headers, reason] of wrong) {
      const answer = await harness.call({ path: '/one/1', headers });
      expect(answer.status).toBe(401);
      expect(textOf(answer)).toContain(reason);
      expect(textOf(answer)).not.toContain('secret');
    }
    expect(headersSeen(fleet)).toEqual([]);
    const metric = 'driftway_gateway_key_refusals_total';
    expect(await valueOf(harness, metric, 'missing')).toBe(3);
    expect(await valueOf(harness, metric, 'unknown')).toBe(4);
    const refused = 'driftway_gateway_refusals_total';
    expect(await valueOf(harness, refused, 'not_authenticated')).toBe(wrong.length);
    expect(JSON.stringify(harness.lines)).not.toMatch(/secret|stranger|kkkk/);
  });

  it('is refused by the listener with 431 when its key exceeds the header size limit', async () => {
    const fleet = await start({ pathPrefix: '/one/', service: 'one' });
    const headers = { [KEY]: 'k'.repeat(100_000) };
    const answer = await fleet.harness.call({ path: '/one/1', headers });
    expect(answer.status).toBe(431);
    expect(headersSeen(fleet)).toEqual([]);
  });

  it('gets 404 when no route matches', async () => {
    const { harness } = await start({ pathPrefix: '/one/', service: 'one' });
    expect((await harness.call({ path: '/two/1' })).status).toBe(404);
  });
});

describe('replicas receive the name of the tenant and no key', () => {
  const split = [
    { service: 'one', weight: 1 },
    { service: 'two', weight: 1 },
  ];
  const fanOut = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3 };
  const divided: GatewayOverrides = {
    others: 3,
    aggregation: { divideAbove: 3, shardsPerGroup: 2 },
    mechanisms: { aggregation: true },
  };
  const ways: readonly [string, TestRoute, GatewayOverrides][] = [
    ['of one service', { pathPrefix: '/q/', service: 'one' }, DEFAULT_SETTINGS],
    ['of a split', { pathPrefix: '/q/', split }, DEFAULT_SETTINGS],
    ['of all shards', fanOut, DEFAULT_SETTINGS],
    ['of shards that other gateways ask', fanOut, divided],
  ];
  for (const [name, route, overrides] of ways) {
    it(`with requests ${name}`, async () => {
      const fleet = await start(route, TENANTS, overrides);
      for (const key of TENANTS[0]?.keys ?? []) {
        const headers = { ...CLAIMS, [KEY]: key };
        expect((await fleet.harness.call({ path: '/q/1', headers })).status).toBe(200);
      }
      expectIdentity(fleet, 'orchard');
      expect((await gathersOf(fleet.harness)) > 0).toBe(overrides === divided);
    });

    it(`with requests ${name} that are retried or hedged`, async () => {
      const fleet = await start(route, TENANTS, overrides);
      const [first] = fleet.replicas;
      for (const behaviour of [ReplicaBehaviour.Fail, ReplicaBehaviour.Refuse]) {
        if (first !== undefined) first.behaviour = behaviour;
        await fleet.harness.call({ path: '/q/1', headers: CLAIMS });
        await fleet.harness.call({ path: '/q/1', headers: CLAIMS });
      }
      for (const replica of fleet.replicas) {
        replica.behaviour = ReplicaBehaviour.Serve;
        replica.workMs = 400;
      }
      await fleet.harness.call({ path: '/q/1', headers: CLAIMS });
      expect(sentAgain(fleet)).toBeGreaterThan(0);
      expectIdentity(fleet, 'orchard');
    });
  }

  it('except on a public route, where they receive neither', async () => {
    for (const route of [{ service: 'one' }, { shards: SHARDS, topRecords: 3 }]) {
      const fleet = await start({ pathPrefix: '/q/', public: true, ...route });
      for (const headers of [CLAIMS, { 'x-other': 'kept' }, { ...CLAIMS, [KEY]: 'stranger' }]) {
        expect((await fleet.harness.call({ path: '/q/1', headers })).status).toBe(200);
      }
      expectIdentity(fleet, undefined);
    }
  });
});

describe('a document without tenants', () => {
  it('forwards every header and requires no key', async () => {
    for (const route of [{ service: 'one' }, { shards: SHARDS, topRecords: 3 }]) {
      const fleet = await start({ pathPrefix: '/q/', ...route }, 'none');
      const headers = { [KEY]: SECRET, [TENANT]: 'mill', x_driftway_tenant: 'a', 'x-other': 'b' };
      const answer = await fleet.harness.call({ path: '/q/1', id: 'mine', headers });
      expect(answer.status).toBe(200);
      expect(headersSeen(fleet)).not.toEqual([]);
      for (const seen of headersSeen(fleet)) {
        expect(seen).toMatchObject({ ...headers, host: HOST, [ID]: 'mine' });
      }
    }
  });
});
