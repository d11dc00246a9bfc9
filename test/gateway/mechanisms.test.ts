import { expect, it } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import type { GatewayMechanisms } from '../../src/configuration/gateway-mechanisms.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { GatewayHarness } from './gateway-harness.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d'];
const FAN_OUT = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.75 };
const SINGLE = { pathPrefix: '/one/', service: 'desk' };
/** Longer than any request is waited for. Milliseconds. */
const NEVER_MS = 10_000;
/** More requests than one gateway sends to a replica at once. */
const MANY = 40;
/** Far below the time after which a request without room is refused. Milliseconds. */
const IMMEDIATE_MS = 20;
/** Beyond the target of 200 ms, well within the deadline. Milliseconds. */
const LATE_MS = 600;

interface Setup {
  readonly harness: GatewayHarness;
  readonly replicas: readonly ExchangeReplica[];
}

async function start(
  services: readonly string[],
  mechanisms: Partial<GatewayMechanisms>,
  copies = 2,
): Promise<Setup> {
  const harness = await GatewayHarness.start(7, { mechanisms });
  const replicas: ExchangeReplica[] = [];
  for (const service of services) {
    for (let copy = 0; copy < copies; copy += 1) {
      replicas.push(await harness.addReplica(service, service.padEnd(16, '.')));
    }
  }
  await harness.putRoutes([FAN_OUT, SINGLE].slice(...(services === SHARDS ? [0, 1] : [1, 2])));
  return { harness, replicas };
}

function arrivalsAt(replicas: readonly ExchangeReplica[]): number {
  return replicas.reduce((sum, { arrivals }) => sum + arrivals, 0);
}

it('asks one replica only when hedging is off', async () => {
  const { harness, replicas } = await start(['desk'], { hedging: false });
  for (const replica of replicas) replica.workMs = LATE_MS;
  expect((await harness.call({ path: '/one/1' })).status).toBe(200);
  expect(arrivalsAt(replicas)).toBe(1);
});

it('waits for late shards until the deadline when the cut-off is off', async () => {
  const { harness, replicas } = await start(SHARDS, { cutOff: false }, 1);
  const [slow] = replicas;
  if (slow !== undefined) slow.workMs = LATE_MS;
  const answer = await harness.call({ path: '/q/1' });
  expect(answer.status).toBe(200);
  expect(answer.headers[DEFAULT_EXCHANGE_HEADERS.missingParts]).toBe('0');
});

it('asks no other replica after a refusal when retries are off', async () => {
  const { harness, replicas } = await start(['desk'], { retries: false });
  for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
  expect((await harness.call({ path: '/one/1' })).status).toBe(503);
  expect(arrivalsAt(replicas)).toBe(1);
});

/** How many of many requests to one replica that answers none were refused within moments. */
async function refusedAtOnce(mechanisms: Partial<GatewayMechanisms>): Promise<number> {
  const { harness, replicas } = await start(['desk'], { ...mechanisms, hedging: false }, 1);
  for (const replica of replicas) replica.workMs = NEVER_MS;
  let refused = 0;
  for (let index = 0; index < MANY; index += 1) {
    const onAnswer = ({ status }: { readonly status: number }): void => {
      if (status === 503) refused += 1;
    };
    void harness.send({ path: '/one/1' }).then(onAnswer, () => undefined);
  }
  await harness.simulation.runFor(IMMEDIATE_MS);
  return refused;
}

it('refuses at once what finds no room only when waiting for it is off', async () => {
  expect(await refusedAtOnce({})).toBe(0);
  expect(await refusedAtOnce({ waitForRoom: false })).toBeGreaterThan(0);
});

async function healthChecks(mechanisms: Partial<GatewayMechanisms>): Promise<number> {
  const { harness, replicas } = await start(SHARDS, mechanisms);
  await harness.simulation.runFor(2_000);
  return replicas.reduce((sum, replica) => sum + replica.healthChecks, 0);
}

it('opens connections to replicas that are not used yet unless that is off', async () => {
  expect(await healthChecks({})).toBeGreaterThan(0);
  expect(await healthChecks({ warmConnections: false })).toBe(0);
});
