import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { collectLines, GatewayHarness, type LogLine } from '../gateway/gateway-harness.js';

const { apiKey: KEY } = DEFAULT_EXCHANGE_HEADERS;
const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const TENANTS = [
  { name: 'orchard', keys: ['secret-1', 'secret-2'] },
  { name: 'mill', keys: ['secret-3'] },
];
const ROUTES = [
  { pathPrefix: '/one/', service: 'one' },
  { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.5 },
];
/** In which gateways connect to each other. Milliseconds. */
const CONNECT_MS = 2_000;

interface Fleet {
  readonly harness: GatewayHarness;
  readonly replicas: readonly ExchangeReplica[];
  readonly controllerLines: LogLine[];
}

async function start(): Promise<Fleet> {
  const controllerLines: LogLine[] = [];
  const harness = await GatewayHarness.start(7, {
    others: 3,
    aggregation: { divideAbove: 3, shardsPerGroup: 2 },
    mechanisms: { aggregation: true },
    controllerLogger: collectLines(controllerLines),
  });
  const replicas: ExchangeReplica[] = [];
  for (const service of ['one', ...SHARDS]) {
    replicas.push(await harness.addReplica(service), await harness.addReplica(service));
  }
  await harness.putRoutes(ROUTES, TENANTS);
  await harness.simulation.runFor(CONNECT_MS);
  return { harness, replicas, controllerLines };
}

/** Documents that are refused, as operators may send them by mistake. */
async function sendWrongDocuments({ harness }: Fleet): Promise<string[]> {
  const document = { version: 99, routes: [], services: [] };
  const tenants = [
    [
      { name: 'a', keys: ['secret-4'] },
      { name: 'b', keys: ['secret-4'] },
    ],
    [{ name: 'a', keys: 'secret-4' }],
    [{ name: 'a', keys: ['secret-4'.repeat(100)] }],
    { 'secret-4': 'a' },
  ];
  const texts = tenants.map((each) => JSON.stringify({ ...document, tenants: each }));
  const broken = texts.map((text) => text.replace('"secret-4', 'secret-4'));
  const answers: string[] = [];
  for (const text of [...texts, ...broken]) {
    const answer = await harness.group.putRoutes(harness.group.machineAt(0), text);
    expect(answer.status).toBe(400);
    answers.push(Buffer.from(answer.body).toString());
  }
  return answers;
}

async function sendRequests({ harness, replicas }: Fleet): Promise<void> {
  const keys = ['secret-1', 'secret-2', 'secret-3', 'secret-unknown', 'secret-1, secret-1', ''];
  for (const behaviour of Object.values(ReplicaBehaviour)) {
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Serve;
    for (const replica of replicas.slice(0, 4)) replica.behaviour = behaviour;
    for (const key of keys) {
      for (const path of ['/one/1', '/q/1', '/none/1']) {
        await harness.call({ path, headers: { [KEY]: key } });
      }
    }
  }
}

/** Every line and every metric of every process. */
async function collectOutput({ harness, controllerLines }: Fleet): Promise<string> {
  const { others, group } = harness;
  const lines = [controllerLines, harness.lines, ...others.map((other) => other.lines)];
  const registries = [
    harness.registry,
    ...others.map(({ registry }) => registry),
    ...group.machines.map((machine) => group.registryOf(machine)),
  ];
  const metrics = await Promise.all(registries.map((registry) => registry.metrics()));
  return JSON.stringify(lines) + metrics.join('\n');
}

describe('API keys', () => {
  it('are in no line, metric or refusal of any daemon', async () => {
    const fleet = await start();
    const answers = await sendWrongDocuments(fleet);
    await sendRequests(fleet);
    const written = await collectOutput(fleet);
    expect(written).toContain('route document refused');
    expect(written).toContain('no tenant holds this API key');
    expect(written).toContain('shards gathered for another gateway');
    expect(written).toContain('"tenant":"orchard"');
    expect(written).not.toContain('secret');
    expect(answers.join()).not.toContain('secret');
  });

  it('come back to the operator of the route document as they were sent', async () => {
    const { harness } = await start();
    const document = await harness.group.readRoutes(harness.group.machineAt(1));
    for (const key of TENANTS.flatMap(({ keys }) => keys)) expect(document).toContain(`"${key}"`);
  });
});

describe('the fingerprint of a request', () => {
  /** By id, the fingerprints in lines of all gateways. */
  async function fingerprintsOf(keys: readonly string[]): Promise<ReadonlySet<unknown>[]> {
    const { harness, replicas } = await start();
    const slow = replicas.filter(({ options }) => options.service.startsWith('shard'));
    // One replica of each shard fails, so that the gateways that gather write lines too.
    for (const replica of slow.filter((_, index) => index % 2 === 0)) {
      replica.behaviour = ReplicaBehaviour.Fail;
    }
    const found: ReadonlySet<unknown>[] = [];
    for (const [index, key] of keys.entries()) {
      const id = `call-${index}`;
      await harness.call({ path: '/q/1', id, headers: { [KEY]: key } });
      const lines = [harness.lines, ...harness.others.map((other) => other.lines)].map((each) =>
        each.filter(({ fields }) => fields['requestId'] === id),
      );
      expect(lines.filter((each) => each.length > 0).length).toBeGreaterThan(1);
      found.push(new Set(lines.flat().map(({ fields }) => fields['fingerprint'])));
    }
    return found;
  }

  it('is the same at every gateway and under each key of a tenant, and differs by tenant', async () => {
    const found = await fingerprintsOf(['secret-1', 'secret-2', 'secret-3']);
    expect(found.map(({ size }) => size)).toEqual([1, 1, 1]);
    const [first, second, other] = found.map((fingerprints) => [...fingerprints][0]);
    expect(second).toBe(first);
    expect(other).not.toBe(first);
  });
});
