import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness } from './gateway-harness.js';

/** Most time until a gateway knows which replica is at an address: two checks and their responses. */
const DECIDED_MS = 6_000;
const ROUTES = [
  { pathPrefix: '/ledger/', service: 'ledger' },
  { pathPrefix: '/archive/', service: 'archive' },
] as const;

/** Has a controller receive the only heartbeat of a replica that has crashed at the address of another one. */
async function registerLate(
  harness: GatewayHarness,
  replica: ExchangeReplica,
  replicaId: string,
): Promise<void> {
  const machine = harness.machineOf(replica);
  const sent = harness.sendHeartbeat({ replicaId, service: 'archive', machine });
  expect((await harness.simulation.settle(sent)).status).toBe(200);
}

async function deregister(harness: GatewayHarness, replicaId: string): Promise<void> {
  const { status } = await harness.simulation.settle(harness.sendDeregistration(replicaId));
  expect(status).toBe(200);
}

async function statusOf(harness: GatewayHarness, path: string): Promise<number> {
  return (await harness.call({ path })).status;
}

// Guards against replicas that get no request for good after a late heartbeat of a crashed replica of
// another service at their address.
describe('a replica at whose address a crashed one registers late', () => {
  it.each([1, 3])('gets requests again after %i late heartbeats', async (count) => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes(ROUTES);
    for (let number = 1; number <= count; number += 1) {
      await registerLate(harness, replica, `crashed-${number}`);
    }
    await harness.simulation.runFor(2 * DECIDED_MS);
    expect(await statusOf(harness, '/ledger/a')).toBe(200);
    expect(await statusOf(harness, '/archive/a')).toBe(503);
    expect(replica.runs).toHaveLength(1);
  });

  it('gets requests on a route that is added later, while the service of the crashed one has none', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes([ROUTES[1]]);
    await registerLate(harness, replica, 'crashed');
    await harness.simulation.runFor(60_000);
    await harness.putRoutes([ROUTES[0]]);
    expect(await statusOf(harness, '/ledger/a')).toBe(200);
  });

  it('gets requests again after the crashed one is deregistered, late as well', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes(ROUTES);
    await registerLate(harness, replica, 'crashed');
    await harness.simulation.runFor(200);
    await deregister(harness, 'crashed');
    await harness.simulation.runFor(DECIDED_MS);
    expect(await statusOf(harness, '/ledger/a')).toBe(200);
  });

  it('gets requests from a gateway that starts afterwards', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes(ROUTES);
    await registerLate(harness, replica, 'crashed');
    await harness.restartGateway();
    await harness.simulation.runFor(2 * DECIDED_MS);
    expect(await statusOf(harness, '/ledger/a')).toBe(200);
  });

  it('gets requests once the gateway reaches it again', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes(ROUTES);
    const { simulation, machine } = harness;
    const cut = simulation.cut({
      from: { machine: machine.name },
      to: { machine: harness.machineOf(replica).name },
    });
    await registerLate(harness, replica, 'crashed');
    await simulation.runFor(20_000);
    simulation.heal(cut);
    await simulation.runFor(30_000);
    expect(await statusOf(harness, '/ledger/a')).toBe(200);
  });
});

describe('a replica that registers at the address of one that crashed', () => {
  async function startSuccessor() {
    const harness = await GatewayHarness.start();
    const crashed = await harness.addReplica('ledger');
    await harness.putRoutes(ROUTES);
    const machine = harness.machineOf(crashed);
    machine.crash();
    const successor = await harness.addReplicaOn(machine, 'archive');
    return { harness, crashed, successor };
  }

  it('keeps the address, after one or two checks', async () => {
    const { harness, successor } = await startSuccessor();
    await harness.simulation.runFor(10 * DECIDED_MS);
    expect(await statusOf(harness, '/archive/a')).toBe(200);
    expect(await statusOf(harness, '/ledger/a')).toBe(503);
    expect(successor.arrivals).toBe(1);
    expect(successor.healthChecks).toBeLessThanOrEqual(2);
  });

  it('is not checked when it answers requests', async () => {
    const { harness, successor } = await startSuccessor();
    await harness.simulation.runFor(500);
    expect(await statusOf(harness, '/archive/a')).toBe(200);
    await harness.simulation.runFor(10 * DECIDED_MS);
    expect(successor.healthChecks).toBe(0);
  });

  it('leaves the address to nobody when it is deregistered', async () => {
    const { harness, successor } = await startSuccessor();
    await harness.simulation.runFor(500);
    await harness.simulation.settle(successor.stop());
    await deregister(harness, successor.options.replicaId);
    await harness.simulation.runFor(DECIDED_MS);
    const { status, body } = await harness.call({ path: '/ledger/a' });
    expect([status, Buffer.from(body).toString()]).toEqual([
      503,
      expect.stringContaining('no replica'),
    ]);
  });
});
