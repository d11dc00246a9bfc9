import { expect, it } from 'vitest';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { GatewayHarness } from './gateway-harness.js';

const ROUTES = [{ pathPrefix: '/ledger/', service: 'ledger' }];
const TENANTS = [
  { name: 'one', keys: ['key-one'], requestsPerSecond: 2, burst: 2 },
  { name: 'two', keys: ['key-two'] },
];
const quota = { windowMs: 5_000, overrun: 0.1, slack: 4 };
/** Of tenant `one` in a window. */
const MAXIMUM_ADMITTED = (2 * 5 + 2) * 1.1 + 4;

function callOf(key: string): { path: string; headers: Record<string, string> } {
  return { path: '/ledger/a', headers: { [DEFAULT_EXCHANGE_HEADERS.apiKey]: key } };
}

async function startFleet(others: number): Promise<GatewayHarness> {
  const harness = await GatewayHarness.start(7, { others, tenants: { quota } });
  await harness.addReplica('ledger', 'found');
  await harness.putRoutes(ROUTES, TENANTS);
  return harness;
}

it('keeps a tenant to its limit over all gateways, and another without one to none', async () => {
  const harness = await startFleet(3);
  const machines = [harness.machine, ...harness.others.map(({ machine }) => machine)];
  const statuses: number[] = [];
  const free: number[] = [];
  for (let step = 0; step < 100; step += 1) {
    const machine = machines[step % machines.length];
    void harness.send(callOf('key-one'), machine).then(({ status }) => statuses.push(status));
    void harness.send(callOf('key-two'), machine).then(({ status }) => free.push(status));
    await harness.simulation.runFor(50);
  }
  await harness.simulation.runFor(2_000);
  const admitted = statuses.filter((status) => status === 200).length;
  expect(statuses.length).toBe(100);
  expect(statuses.filter((status) => status === 429).length).toBe(100 - admitted);
  expect(admitted).toBeLessThanOrEqual(MAXIMUM_ADMITTED);
  expect(admitted).toBeGreaterThanOrEqual(10);
  expect(free).toEqual(free.map(() => 200));
  expect(free.length).toBe(100);
});

it('tells a refused caller when to come back, and admits it then', async () => {
  const harness = await startFleet(0);
  let refused = await harness.call(callOf('key-one'));
  for (let count = 0; count < 20 && refused.status === 200; count += 1) {
    refused = await harness.call(callOf('key-one'));
  }
  expect(refused.status).toBe(429);
  const seconds = Number(refused.headers['retry-after']);
  expect(seconds).toBeGreaterThan(0);
  await harness.simulation.runFor(seconds * 1_000);
  expect((await harness.call(callOf('key-one'))).status).toBe(200);
});

it('goes on with the next leader of the controllers', async () => {
  const harness = await startFleet(1);
  expect((await harness.call(callOf('key-one'))).status).toBe(200);
  for (const machine of harness.group.machines.slice(0, 1)) machine.crash();
  await harness.simulation.runFor(5_000);
  expect((await harness.call(callOf('key-one'))).status).toBe(200);
  harness.group.machineAt(0).restart({ keepDisk: true });
  await harness.group.startOn(harness.group.machineAt(0));
  await harness.simulation.runFor(5_000);
  expect((await harness.call(callOf('key-one'))).status).toBe(200);
});
