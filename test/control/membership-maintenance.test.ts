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
  learnerToPromote,
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

  it('removes a silent voter when a learner that has caught up can take its place', async () => {
    const tracker = new SilenceTracker(clock);
    const behind = { ...member('m-d-x1', 0, false), matchIndex: 0 };
    const members = [member('m-b', 0), member('m-c', 60_000)];
    const waiting = { ...statusOf([...members, behind]), lastIndex: 1_000 };
    tracker.memberToRemove(waiting);
    await simulation.runFor(60_000);
    expect(tracker.memberToRemove(waiting)).toBeUndefined();
    const ready = statusOf([...members, { ...behind, matchIndex: 1 }]);
    expect(tracker.memberToRemove(ready)?.memberId).toBe('m-c');
  });

  it('counts all founders, including removed ones, as the intended size', () => {
    expect(intendedVoterCount(statusOf([member('m-b', 0), member('m-d-x1', 0)], ['m-c']))).toBe(3);
  });
});

describe('learnerToPromote', () => {
  const others = [member('m-b', 0), member('m-c', 0)];
  const learner = { ...member('m-d-x1', 0, false), matchIndex: 1 };

  it('gives no vote that only raises the number of votes needed', () => {
    expect(learnerToPromote(statusOf([...others, learner]))).toBeUndefined();
  });

  it('gives a vote in the place of a voter that was removed, and to founders', () => {
    const replaced = statusOf([member('m-b', 0), learner], ['m-c']);
    expect(learnerToPromote(replaced)).toBe(learner);
    const founder = { ...member('m-d', 0, false), matchIndex: 1 };
    expect(learnerToPromote(statusOf([...others, founder]))).toBe(founder);
  });

  it('gives votes to two learners one after the other', () => {
    const second = { ...member('m-e-x1', 0, false), matchIndex: 1 };
    expect(learnerToPromote(statusOf([...others, learner, second]))).toBe(learner);
    const promoted = { ...learner, voter: true };
    expect(learnerToPromote(statusOf([...others, promoted, second]))).toBe(second);
  });

  it('gives no vote to a learner that is silent or behind, nor where another controller leads', () => {
    const voters = [member('m-b', 0)];
    const silent = { ...learner, silentMs: 5_000 };
    expect(learnerToPromote(statusOf([...voters, silent], ['m-c']))).toBeUndefined();
    const ahead = { ...statusOf([...voters, learner], ['m-c']), lastIndex: 1_000 };
    expect(learnerToPromote(ahead)).toBeUndefined();
    const follower = { ...statusOf([...voters, learner], ['m-c']), role: 'follower' as const };
    expect(learnerToPromote(follower)).toBeUndefined();
  });
});
