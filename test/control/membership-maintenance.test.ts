import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import type {
  ReplicatedLogMember,
  ReplicatedLogStatus,
} from '../../src/consensus/replicated-log.js';
import {
  LEARNER_SILENCE_TIMEOUT_MS,
  SilenceTracker,
  VOTER_SILENCE_TIMEOUT_MS,
  intendedVoterCount,
} from '../../src/control/membership-maintenance.js';

const LEADER = 'm-10-0-0-1-7000';

function member(memberId: string, silentMs: number, voter = true): ReplicatedLogMember {
  return { memberId, address: `${memberId}:7000`, voter, silentMs };
}

function statusOf(members: ReplicatedLogMember[], retiredIds: string[] = []): ReplicatedLogStatus {
  return {
    memberId: LEADER,
    role: 'leader',
    term: 1,
    leaderId: LEADER,
    commitIndex: 1,
    knownCommitIndex: 1,
    appliedIndex: 1,
    lastIndex: 1,
    sinceQuorumMs: 0,
    members: [member(LEADER, 0), ...members],
    retiredIds,
  };
}

describe('SilenceTracker', () => {
  const simulation = new Simulation(1);
  const { clock } = simulation.createMachine('leader', 'a').environment;

  it('waits the whole timeout for a learner without contact, however long the leader has led', async () => {
    const tracker = new SilenceTracker(clock);
    const before = statusOf([member('m-b', 0), member('m-c', 0)]);
    expect(tracker.memberToRemove(before)).toBeUndefined();
    await simulation.runFor(LEARNER_SILENCE_TIMEOUT_MS * 3);
    const joined = statusOf([
      member('m-b', 0),
      member('m-c', 0),
      member('m-d-x1', Infinity, false),
    ]);
    expect(tracker.memberToRemove(joined)).toBeUndefined();
    await simulation.runFor(LEARNER_SILENCE_TIMEOUT_MS + 1_000);
    expect(tracker.memberToRemove(joined)?.memberId).toBe('m-d-x1');
  });

  it('removes a silent voter only when its replacement is a voter', async () => {
    const tracker = new SilenceTracker(clock);
    const alone = statusOf([member('m-b', 0), member('m-c', 60_000)]);
    tracker.memberToRemove(alone);
    await simulation.runFor(60_000);
    expect(tracker.memberToRemove(alone)).toBeUndefined();
    const replaced = statusOf([member('m-b', 0), member('m-c', 60_000), member('m-d-x1', 0)]);
    expect(tracker.memberToRemove(replaced)?.memberId).toBe('m-c');
  });

  it('keeps a voter that made contact recently', async () => {
    const tracker = new SilenceTracker(clock);
    const status = statusOf([
      member('m-b', 0),
      member('m-c', VOTER_SILENCE_TIMEOUT_MS / 2),
      member('m-d-x1', 0),
    ]);
    tracker.memberToRemove(status);
    await simulation.runFor(60_000);
    expect(tracker.memberToRemove(status)).toBeUndefined();
  });

  it('counts all founders, including removed ones, as the intended size', () => {
    expect(intendedVoterCount(statusOf([member('m-b', 0), member('m-d-x1', 0)], ['m-c']))).toBe(3);
  });
});
