import { describe, expect, it } from 'vitest';
import { checkLinearizability } from '../../lab/linearizability/check-linearizability.js';
import type { RaftFaults } from '../../src/consensus/raft-faults.js';
import { playScenario, type SCENARIOS } from './support/broken-node-scenarios.js';
import { runAdministration } from './support/administration-run.js';

const SEEDS = Array.from({ length: Number(process.env.RAFT_SEEDS ?? 12) }, (_, seed) => seed + 1);
const LIMITS = { snapshotEveryRecords: 20, retainedRecords: 8, segmentBytes: 4_000 };
const THREE = ['a', 'b', 'c'];
/** Random runs in which a broken rule must show at least once. */
const BROKEN_SEEDS = 60;
const INITIAL = { revision: 0, value: undefined };

describe('the administration history', () => {
  it.each(SEEDS)('is linearizable, seed %i', async (seed) => {
    const ids = seed % 2 === 0 ? THREE : [...THREE, 'd', 'e'];
    const { verdict, history, violations } = await runAdministration(seed, ids, { limits: LIMITS });
    expect(violations).toEqual([]);
    expect(verdict).toMatchObject({ linearizable: true, complete: true });
    const kinds = history.map(({ answer }) => answer.kind);
    expect(kinds).toEqual(expect.arrayContaining(['accepted', 'conflict', 'read']));
  });

  it.each<{ scenario: keyof typeof SCENARIOS; fault: keyof RaftFaults }>([
    { scenario: 'pauseOfLeader', fault: 'skipReadConfirmation' },
    { scenario: 'powerCut', fault: 'acknowledgeBeforeSync' },
    { scenario: 'lossOfDisk', fault: 'ignoreIncarnation' },
  ])('stays so in a $scenario, but not with $fault', async ({ scenario, fault }) => {
    const sound = checkLinearizability(await playScenario(scenario, {}), INITIAL);
    expect(sound).toMatchObject({ linearizable: true });
    const broken = checkLinearizability(await playScenario(scenario, { [fault]: true }), INITIAL);
    expect(broken).toMatchObject({ linearizable: false, complete: true });
  });

  it('is seen not to be when votes go to members whose log is behind', async () => {
    let found = false;
    for (let seed = 1; seed <= BROKEN_SEEDS && !found; seed += 1) {
      const faults = { ignoreLogOrder: true };
      const run = runAdministration(seed, THREE, { limits: LIMITS, faults });
      const result = await run.catch(() => undefined);
      found = result !== undefined && !result.verdict.linearizable && result.verdict.complete;
    }
    expect(found).toBe(true);
  });
});
