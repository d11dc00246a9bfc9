import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import { BOUND_MS, KEPT_KEY, RevocationFleet } from './revocation-fleet.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const ROUNDS = 5;
/** Longest freeze, and longest part of a cut before a key is taken away. Milliseconds. */
const MAXIMUM_FREEZE_MS = 8_000;
const MAXIMUM_REVOCATION_DELAY_MS = 2_000;
/** In which everything recovers from a fault. Milliseconds. */
const RECOVERY_MS = 6_000;
/** Far past the end of every lease. Milliseconds. */
const PAST_LEASES_MS = 2 * BOUND_MS;

type Fault = (fleet: RevocationFleet, random: RandomSource) => void | Promise<void>;

function pick<T>(items: readonly T[], random: RandomSource): T {
  return items[random.nextInteger(0, items.length - 1)] ?? expect.fail('nothing to pick from');
}

const FAULTS: readonly Fault[] = [
  (fleet, random) => fleet.isolateWith(pick(fleet.gateways, random), random.nextInteger(0, 2)),
  (fleet) => fleet.gateways.forEach((gateway) => fleet.isolate(gateway)),
  (fleet, random) => pick(fleet.gateways, random).freeze(random.nextFloat() * MAXIMUM_FREEZE_MS),
  (fleet, random) => pick(fleet.controllers, random).freeze(random.nextFloat() * MAXIMUM_FREEZE_MS),
  (fleet, random) => {
    fleet.simulation.changeLink(
      { to: { machine: pick(fleet.gateways, random).name } },
      { latency: random.nextFloat() * 1_500 },
    );
  },
  (fleet, random) => {
    pick(fleet.gateways, random).skew(random.nextInteger(-15_000, 15_000));
    pick(fleet.controllers, random).skew(random.nextInteger(-15_000, 15_000));
  },
  (fleet, random) => fleet.harness.group.restart(pick(fleet.controllers, random), true),
  async (fleet, random) => {
    fleet.isolateWith(fleet.harness.machine, random.nextInteger(0, 2));
    fleet.harness.machine.drift(1 + (random.nextFloat() - 0.5) / 100);
    await fleet.harness.restartGateway();
  },
];

async function runRound(fleet: RevocationFleet, random: RandomSource): Promise<void> {
  await pick(FAULTS, random)(fleet, random);
  if (random.nextFloat() < 0.3) await pick(FAULTS, random)(fleet, random);
  await fleet.simulation.runFor(random.nextFloat() * MAXIMUM_REVOCATION_DELAY_MS);
  fleet.revoke();
  await fleet.simulation.runFor(PAST_LEASES_MS);
  fleet.simulation.healAll();
  await fleet.simulation.runFor(RECOVERY_MS);
}

describe('a key that was taken away', () => {
  it.each(SEEDS)('runs nowhere past the bound, seed %i', async (seed) => {
    const random = seededRandom(seed, 'faults');
    const fleet = await RevocationFleet.start(seed);
    fleet.startCallers();
    for (let round = 0; round < ROUNDS; round += 1) await runRound(fleet, random);
    expect(fleet.violations).toEqual([]);
    expect(fleet.revokedAt.size).toBe(ROUNDS);
    const answered = [...fleet.sent.values()].filter(({ status }) => status === 200);
    expect(answered.length).toBeGreaterThan(fleet.sent.size / 10);
  });

  it.each([0, 1, 2])(
    'runs nowhere while controller %i is cut off with the gateway',
    async (index) => {
      const fleet = await RevocationFleet.start(7);
      fleet.startCallers();
      fleet.isolateWith(fleet.harness.machine, index);
      fleet.revoke();
      await fleet.simulation.runFor(PAST_LEASES_MS);
      expect(fleet.revokedAt.size).toBe(1);
      expect(fleet.violations).toEqual([]);
    },
  );

  it('runs on where controllers confirm by what they believe', async () => {
    const violationCounts: number[] = [];
    for (const index of [0, 1, 2]) {
      const controlFaults = { skipFreshnessProof: true };
      const fleet = await RevocationFleet.start(7, { controlFaults });
      fleet.startCallers();
      fleet.isolateWith(fleet.harness.machine, index);
      fleet.revoke();
      await fleet.simulation.runFor(PAST_LEASES_MS);
      violationCounts.push(fleet.violations.length);
    }
    expect(Math.min(...violationCounts)).toBeGreaterThan(0);
  });

  it('runs on at a gateway that is cut off where no bound is set', async () => {
    const fleet = await RevocationFleet.start(7, { tenants: {} });
    fleet.startCallers();
    fleet.isolate(fleet.harness.machine);
    fleet.revoke();
    await fleet.simulation.runFor(PAST_LEASES_MS);
    expect(fleet.violations.length).toBeGreaterThan(0);
  });
});

interface Loss {
  readonly loss: string;
  readonly begin: (fleet: RevocationFleet, controller: SimulatedMachine) => void;
  readonly end: (fleet: RevocationFleet, controller: SimulatedMachine) => Promise<void> | void;
}

/** What each controller suffers in turn, so that the leader and each gateway's first one do. */
const LOSSES: readonly Loss[] = [
  {
    loss: 'loses its power',
    begin: (_fleet, controller) => controller.crash({ power: true }),
    end: (fleet, controller) => fleet.harness.group.restart(controller, true),
  },
  {
    loss: 'is cut off from the others, not from the gateways',
    begin: (fleet, controller) => fleet.isolateFromGroup(controller),
    end: (fleet) => fleet.simulation.healAll(),
  },
  {
    loss: 'is frozen',
    begin: (_fleet, controller) => controller.freeze(PAST_LEASES_MS),
    end: () => undefined,
  },
];

describe('a key that is kept', () => {
  it.each(LOSSES)(
    'is never refused while each controller in turn $loss',
    async ({ begin, end }) => {
      const fleet = await RevocationFleet.start(7);
      fleet.startCallers();
      for (const controller of fleet.controllers) {
        begin(fleet, controller);
        await fleet.simulation.runFor(PAST_LEASES_MS);
        await end(fleet, controller);
        await fleet.simulation.runFor(RECOVERY_MS);
      }
      const requests = [...fleet.sent.values()].filter(({ sentAt }) => {
        return sentAt < fleet.simulation.now - 1_000;
      });
      const kept = requests.filter(({ key }) => key === KEPT_KEY);
      expect(kept.length).toBeGreaterThan(500);
      expect(kept.filter(({ status }) => status !== 200)).toEqual([]);
    },
  );

  it('is served at a gateway that is cut off for most of the bound, then refused', async () => {
    const fleet = await RevocationFleet.start(7);
    const { machine } = fleet.harness;
    fleet.isolate(machine);
    await fleet.simulation.runFor(0.6 * BOUND_MS);
    expect((await fleet.simulation.settle(fleet.send(machine, KEPT_KEY))).status).toBe(200);
    await fleet.simulation.runFor(0.4 * BOUND_MS);
    const refused = await fleet.simulation.settle(fleet.send(machine, KEPT_KEY));
    expect(refused.status).toBe(503);
    expect(Buffer.from(refused.body).toString()).toContain('keys_unconfirmed');
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect(await fleet.harness.readyStatus()).toBe(503);
    const open = await fleet.simulation.settle(fleet.send(machine, KEPT_KEY, '/open/1'));
    expect(open.status).toBe(200);
    fleet.simulation.healAll();
    await fleet.simulation.runFor(1_000);
    expect((await fleet.simulation.settle(fleet.send(machine, KEPT_KEY))).status).toBe(200);
    expect(await fleet.harness.readyStatus()).toBe(200);
    const messages = fleet.harness.lines.map(({ message }) => message);
    expect(messages.filter((message) => message.startsWith('API keys'))).toEqual([
      'API keys refused: the route document could not be confirmed',
      'API keys accepted',
    ]);
  });
});

/** Questions that controllers have answered. */
async function countConfirmations(fleet: RevocationFleet): Promise<number> {
  const name = 'driftway_controller_version_confirmations_total';
  const readings = fleet.controllers.map(async (machine) => {
    const metric = await fleet.harness.group.registryOf(machine).getSingleMetric(name)?.get();
    return metric?.values.reduce((sum, { value }) => sum + value, 0) ?? 0;
  });
  return (await Promise.all(readings)).reduce((sum, count) => sum + count, 0);
}

it('nothing is confirmed for a document without tenants', async () => {
  const fleet = await RevocationFleet.start(7);
  await fleet.putDocument(false);
  const before = await countConfirmations(fleet);
  await fleet.harness.restartGateway();
  await fleet.simulation.runFor(PAST_LEASES_MS);
  expect(await countConfirmations(fleet)).toBe(before);
  expect(await fleet.harness.readyStatus()).toBe(200);
});
