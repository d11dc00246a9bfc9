import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { SoakForm } from '../../../lab/soak/soak-fleet.js';
import { runSoak } from '../../../lab/soak/soak-run.js';
import { createNodeEnvironment } from '../../../src/node/node-environment.js';

const SECONDS = 60;
const SEED = 11;
const LONGEST_TEST_MS = 180_000;

it(
  'daemons as they are deployed break no promise that names no time under faults, and none ends by itself',
  async () => {
    const folder = await mkdtemp(join(tmpdir(), 'driftway-soak-'));
    const options = { environment: createNodeEnvironment(), folder, seed: SEED, seconds: SECONDS };
    const form = SoakForm.Deployed;
    const { answered, faults, violations } = await runSoak({ ...options, form, timed: false });
    expect(violations).toEqual([]);
    expect(faults).toBeGreaterThan(5);
    expect(answered).toBeGreaterThan(0);
    await rm(folder, { recursive: true, force: true });
  },
  LONGEST_TEST_MS,
);
