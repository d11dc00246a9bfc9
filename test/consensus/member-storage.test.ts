import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { ForeignDataFolderError } from '../../src/consensus/consensus-errors.js';
import { MemberStorage } from '../../src/consensus/member-storage.js';
import { DEFAULT_RAFT_LIMITS } from '../../src/consensus/raft-timings.js';

const LIMITS = { ...DEFAULT_RAFT_LIMITS, segmentBytes: 1_000 };
const IDENTITY = { clusterId: 'dohoku', memberId: 'controller-1', newIncarnation: 'first' };

describe("a member's data folder", () => {
  it.each([{ memberId: 'controller-2' }, { clusterId: 'pnw' }])(
    'is not opened as %o, and not called damaged',
    async (other) => {
      const simulation = new Simulation(1);
      const { disk } = simulation.createMachine('a', 'nayoro').environment;
      const storage = await simulation.settle(MemberStorage.open(disk, IDENTITY, LIMITS));
      await simulation.settle(storage.close());
      const opening = MemberStorage.open(disk, { ...IDENTITY, ...other }, LIMITS);
      const error = await simulation.settle(opening).catch((cause: unknown) => cause);
      expect(error).toBeInstanceOf(ForeignDataFolderError);
      expect(String(error)).toContain('belongs to member "controller-1" of cluster "dohoku"');
      expect(String(error)).toContain('settings file');
    },
  );
});
