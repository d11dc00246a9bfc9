import { describe, expect, it } from 'vitest';
import { SILENT_LOGGER, type LogFields, type Logger } from '../../src/observability/logger.js';
import { AutomaticGroup, SETTLE_MS, routeDocument } from './automatic-group.js';

/** Time for which a machine is down when it loses its disk. */
const DOWN_MS = 100;

async function loseDisks(
  group: AutomaticGroup,
  indexes: readonly number[],
  downMs = DOWN_MS,
): Promise<void> {
  for (const index of indexes) group.machineAt(index).crash();
  await group.simulation.runFor(downMs);
  for (const index of indexes) await group.restart(group.machineAt(index), false);
}

/** Collects the fields of each change of members. */
function membershipLogger(lines: LogFields[]): Logger {
  const logger: Logger = {
    ...SILENT_LOGGER,
    info: (message, fields = {}) => {
      if (message === 'members changed') lines.push(fields);
    },
    child: () => logger,
  };
  return logger;
}

/** What was acknowledged is read back everywhere, and a change is accepted. */
async function expectService(group: AutomaticGroup, version: number): Promise<void> {
  await group.simulation.runFor(SETTLE_MS);
  for (const machine of group.machines.filter(({ running }) => running)) {
    expect(await group.readRoutes(machine)).toBe(routeDocument(version));
  }
  const [machine] = group.machines;
  if (machine === undefined) return expect.fail('no controllers');
  expect((await group.putRoutes(machine, routeDocument(version + 1))).status).toBe(200);
}

/** Time from the return of a machine to its next loss, from before it enrols to after its predecessor is removed. */
const UP_TIMES_MS = [0, 20, 60, 150, 250, 400, 700, 900, 1_300, 1_700, 2_500];

describe('a controller that loses its disk again before it is replaced', () => {
  const series = [2, 3, 5].flatMap((losses) => UP_TIMES_MS.map((upMs) => ({ losses, upMs })));

  // Guards against a group that counts the voter of a lost disk beside its successor, and so needs both of
  // the lost ones once the successor loses its disk as well.
  it.each(series)('answers after $losses losses, $upMs ms apart', async ({ losses, upMs }) => {
    for (const index of [0, 1, 2]) {
      const group = await AutomaticGroup.start(3, 7 + index);
      expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
      for (let loss = 0; loss < losses; loss += 1) {
        await loseDisks(group, [index]);
        await group.simulation.runFor(upMs);
      }
      await expectService(group, 5);
    }
  });

  // The same, where a group bears two lost disks at once.
  it.each(UP_TIMES_MS)('answers after two of five lose theirs twice, %i ms apart', async (upMs) => {
    const group = await AutomaticGroup.start(5);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
    for (let loss = 0; loss < 2; loss += 1) {
      await loseDisks(group, [1, 4]);
      await group.simulation.runFor(upMs);
    }
    await group.simulation.runFor(SETTLE_MS);
    await expectService(group, 5);
  });

  // Guards against a removal and an addition of which a loss of all power leaves only one.
  it.each(UP_TIMES_MS.flatMap((upMs) => [true, false].map((keepDisk) => ({ upMs, keepDisk }))))(
    'answers after a loss of all power $upMs ms later, its disk kept: $keepDisk',
    async ({ upMs, keepDisk }) => {
      const group = await AutomaticGroup.start(3);
      expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
      await loseDisks(group, [2]);
      await group.simulation.runFor(upMs);
      for (const machine of group.machines) machine.crash({ power: true });
      for (const [index, machine] of group.machines.entries()) {
        await group.restart(machine, index !== 2 || keepDisk);
      }
      await expectService(group, 5);
    },
  );

  // Guards against learners that no one removes before they have been silent for ten seconds.
  it('leaves one learner at most behind, and never raises the votes needed', async () => {
    const lines: LogFields[] = [];
    const group = await AutomaticGroup.start(3, 7, { logger: membershipLogger(lines) });
    for (let loss = 0; loss < 20; loss += 1) {
      await loseDisks(group, [2]);
      await group.simulation.runFor(60);
    }
    await group.simulation.runFor(SETTLE_MS);
    expect(lines.length).toBeGreaterThan(20);
    for (const { learners, quorum } of lines) {
      expect(learners).toMatch(/^\S*$/);
      expect(quorum).toBe(2);
    }
  });
});

describe('a group of which one machine loses its disk again and again', () => {
  const seeds = Array.from({ length: 30 }, (_, index) => 300 + index);

  // Guards against a loss at a moment that no case above names, beside crashes, freezes and cuts of the others.
  it.each(seeds)('keeps what it acknowledged and answers in the end (seed %i)', async (seed) => {
    const group = await AutomaticGroup.start(seed % 2 === 0 ? 3 : 5, seed, { supervised: true });
    const { simulation, machines } = group;
    const { random } = simulation;
    let version = 1;
    expect((await group.putRoutes(group.machineAt(0), routeDocument(version))).status).toBe(200);
    const lost = random.nextInteger(0, machines.length - 1);
    for (let round = 0; round < 25; round += 1) {
      const other = group.machineAt(random.nextInteger(0, machines.length - 1));
      const isOther = other !== group.machineAt(lost);
      const lastingMs = random.nextInteger(50, 1_500);
      const kind = random.nextInteger(0, 5);
      if (kind <= 2) await loseDisks(group, [lost], random.nextInteger(0, 300));
      else if (kind === 3) other.freeze(lastingMs);
      else if (kind === 4) group.isolate(other, lastingMs);
      else if (isOther) await group.restart(other, true);
      await simulation.runFor(random.nextInteger(0, 700));
      const { status } = await group.putRoutes(other, routeDocument(version + 1));
      if (status === 200) version += 1;
    }
    await simulation.runFor(2 * SETTLE_MS);
    for (const machine of machines) {
      const { version: read } = JSON.parse(await group.readRoutes(machine)) as { version: number };
      expect(read).toBeGreaterThanOrEqual(version);
    }
  });
});
