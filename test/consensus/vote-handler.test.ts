import { Registry } from 'prom-client';
import { beforeEach, describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import { ConsensusMetrics } from '../../src/consensus/consensus-metrics.js';
import { MemberState } from '../../src/consensus/member-state.js';
import { MemberStorage } from '../../src/consensus/member-storage.js';
import { Membership } from '../../src/consensus/membership.js';
import type { RaftFaults } from '../../src/consensus/raft-faults.js';
import { DEFAULT_RAFT_LIMITS, DEFAULT_RAFT_TIMINGS } from '../../src/consensus/raft-timings.js';
import { handleVote } from '../../src/consensus/vote-handler.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { HistoryMachine } from './support/history-machine.js';

const MEMBER_ID = 'a';
const IDENTITY = { clusterId: 'dohoku', memberId: MEMBER_ID, newIncarnation: 'first' };
const VOTERS = ['a', 'b', 'c'].map((memberId) => ({
  memberId,
  address: '10.0.0.1:1',
  incarnation: 'first',
  voter: true,
}));

let simulation: Simulation;
let machine: SimulatedMachine;

beforeEach(() => {
  simulation = new Simulation(1);
  machine = simulation.createMachine(MEMBER_ID, 'nayoro');
});

/** Opens the member on what its disk holds. */
async function openMember(faults: RaftFaults = {}): Promise<MemberState> {
  const { clock, random, disk } = machine.environment;
  const opening = MemberStorage.open(disk, IDENTITY, DEFAULT_RAFT_LIMITS);
  const storage = await simulation.settle(opening);
  const state = new MemberState({
    clusterId: IDENTITY.clusterId,
    memberId: MEMBER_ID,
    clock,
    random,
    logger: SILENT_LOGGER,
    metrics: new ConsensusMetrics(new Registry()),
    timings: DEFAULT_RAFT_TIMINGS,
    limits: DEFAULT_RAFT_LIMITS,
    faults,
    stopWhenRetired: false,
    stateMachine: new HistoryMachine(() => undefined),
    storage,
  });
  if (!state.bootstrapped) await simulation.settle(storage.bootstrap(new Membership(VOTERS, [])));
  return state;
}

async function askVote(state: MemberState, candidateId: string, term: number): Promise<boolean> {
  const request = { candidateId, term, lastIndex: 9, lastTerm: 1, preVote: false, transfer: false };
  const { granted } = await simulation.settle(handleVote(state, request));
  return granted;
}

describe('a vote', () => {
  it('goes to one candidate in a term, which may ask again', async () => {
    const state = await openMember();
    expect(await askVote(state, 'b', 5)).toBe(true);
    expect(await askVote(state, 'c', 5)).toBe(false);
    expect(await askVote(state, 'b', 5)).toBe(true);
    expect(await askVote(state, 'c', 6)).toBe(true);
  });

  it('is remembered through a loss of power right after the answer', async () => {
    expect(await askVote(await openMember(), 'b', 5)).toBe(true);
    machine.crash({ power: true });
    machine.restart({ keepDisk: true });
    const state = await openMember();
    expect(await askVote(state, 'c', 5)).toBe(false);
    expect(await askVote(state, 'b', 5)).toBe(true);
  });

  it('is seen to be given twice when the rule is broken', async () => {
    const state = await openMember({ voteTwice: true });
    expect(await askVote(state, 'b', 5)).toBe(true);
    expect(await askVote(state, 'c', 5)).toBe(true);
  });
});
