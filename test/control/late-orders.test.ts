import { describe, expect, it } from 'vitest';
import { AutomaticGroup, SETTLE_MS } from './automatic-group.js';
import { Operator } from './operator.js';

/** From an operator's call to its answer when nothing is disturbed, at most. */
const LONGEST_ORDER_MS = 120;
const ZONE = '/v1/evacuations/nayoro';

async function isEvacuated(group: AutomaticGroup): Promise<boolean> {
  const { status, body } = await group.call(group.machineAt(0), 'GET', '/v1/evacuations');
  expect(status).toBe(200);
  const { zones } = JSON.parse(Buffer.from(body).toString('utf8')) as { zones: string[] };
  return zones.includes('nayoro');
}

/** How the call that the operator gives up is held up, until it reaches the controller or the leader. */
const DELAYS = {
  'a controller that stands still': (group: AutomaticGroup, controller: number) => {
    group.machineAt(controller).freeze(4_000);
  },
  'a path that is cut for a while': (group: AutomaticGroup, controller: number) => {
    const to = { machine: group.machineAt(controller).name };
    const cut = group.simulation.cut({ from: { machine: group.operator.name }, to });
    group.simulation.at(group.simulation.now + 4_000, () => group.simulation.heal(cut));
  },
} as const;

describe('an order that its caller has given up', () => {
  const cases = Object.keys(DELAYS).flatMap((delay) =>
    [0, 1, 2].flatMap((controller) =>
      (['PUT', 'DELETE'] as const).map((late) => ({ delay, controller, late })),
    ),
  );

  // Guards against a controller that carries out an order it reads late, over a newer acknowledged one.
  it.each(cases)(
    'is not carried out late: $late to controller $controller, $delay',
    async ({ delay, controller, late }) => {
      const group = await AutomaticGroup.start(3);
      const others = [0, 1, 2].filter((index) => index !== controller);
      const operator = new Operator(group);
      const newer = late === 'PUT' ? 'DELETE' : 'PUT';
      expect(await operator.order(newer, ZONE, others)).toBe(200);
      await operator.connect(controller);
      await group.simulation.runFor(500);
      DELAYS[delay as keyof typeof DELAYS](group, controller);
      await group.simulation.runFor(200);
      expect(await operator.order(late, ZONE, [controller, ...others])).toBe(200);
      await group.simulation.runFor(100);
      expect(await operator.order(newer, ZONE, others)).toBe(200);
      await group.simulation.runFor(SETTLE_MS);
      expect(await isEvacuated(group)).toBe(newer === 'PUT');
    },
  );

  // The same where the newer order changes nothing, so that only its number tells that it came later.
  it.each([0, 1, 2])(
    'is not carried out after an order that found it undone (controller %i)',
    async (controller) => {
      const group = await AutomaticGroup.start(3);
      const others = [0, 1, 2].filter((index) => index !== controller);
      const operator = new Operator(group);
      group.machineAt(controller).freeze(4_000);
      await operator.tryOnce('PUT', ZONE, controller);
      expect(await operator.order('DELETE', ZONE, others)).toBe(200);
      await group.simulation.runFor(SETTLE_MS);
      expect(await isEvacuated(group)).toBe(false);
    },
  );

  // Guards against an order whose request and end of connection are delayed alike, so that the end comes later.
  it('is not carried out behind a path that delays all it carries', async () => {
    const group = await AutomaticGroup.start(3);
    const operator = new Operator(group);
    expect(await operator.order('PUT', ZONE, [1, 2])).toBe(200);
    await operator.connect(0);
    const to = { machine: group.machineAt(0).name };
    group.simulation.changeLink({ from: { machine: group.operator.name }, to }, { latency: 4_000 });
    expect(await operator.order('DELETE', ZONE, [0, 1, 2])).toBe(200);
    expect(await operator.order('PUT', ZONE, [1, 2])).toBe(200);
    await group.simulation.runFor(SETTLE_MS);
    group.simulation.healAll();
    expect(await isEvacuated(group)).toBe(true);
  });
});

describe('orders of an operator while controllers stand still and are cut off', () => {
  const seeds = Array.from({ length: 40 }, (_, index) => 100 + index);

  // Guards against late copies on any path: read late, forwarded late, or proposed by a leader that woke up.
  it.each(seeds)('end with the last acknowledged one (seed %i)', async (seed) => {
    const group = await AutomaticGroup.start(3, seed);
    const { random } = group.simulation;
    const operator = new Operator(group);
    for (let round = 0; round < 6; round += 1) {
      const disturbed = random.nextInteger(0, 2);
      const others = [(disturbed + 1) % 3, (disturbed + 2) % 3];
      const disturbance = random.nextFloat() < 0.5 ? 'freeze' : 'isolate';
      const lastingMs = random.nextInteger(300, 4_000);
      await operator.connect(disturbed);
      // More often at the start of the call, when it is read and forwarded.
      const delayMs = random.nextFloat() ** 3 * LONGEST_ORDER_MS;
      group.simulation.at(group.simulation.now + delayMs, () => {
        if (disturbance === 'freeze') group.machineAt(disturbed).freeze(lastingMs);
        else group.isolate(group.machineAt(disturbed), lastingMs);
      });
      const first = random.nextFloat() < 0.5 ? 'PUT' : 'DELETE';
      const last = first === 'PUT' ? 'DELETE' : 'PUT';
      expect(await operator.order(first, ZONE, [disturbed, ...others])).toBe(200);
      await group.simulation.runFor(random.nextInteger(0, 300));
      expect(await operator.order(last, ZONE, others)).toBe(200);
      await group.simulation.runFor(SETTLE_MS);
      expect(await isEvacuated(group)).toBe(last === 'PUT');
    }
  });
});
