import { Registry } from 'prom-client';
import { describe, expect, it, vi } from 'vitest';
import { DecisionLog } from '../../src/observability/decision-log.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { CrashGuardDecision, CrashGuard } from '../../src/quarantine/crash-guard.js';
import { QuarantineState, type QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';
import { TrialResult } from '../../src/quarantine/quarantine-metrics.js';
import {
  QuarantineChangeKind,
  type QuarantineChange,
} from '../../src/quarantine/quarantine-register.js';
import { ManualClock } from '../support/manual-clock.js';

const REQUEST = { fingerprint: 'f', description: 'GET desk.example/q' };
const nothing = (): void => undefined;

interface Parts {
  readonly guard: CrashGuard;
  readonly clock: ManualClock;
  readonly sent: QuarantineChange[];
}

function createGuard({
  isOn: isEnabled = true,
  hasTrials: areTrialsEnabled = true,
  isFollowed = true,
} = {}): Parts {
  const clock = new ManualClock();
  const sent: QuarantineChange[] = [];
  const guard = new CrashGuard({
    clock,
    log: new DecisionLog(clock, SILENT_LOGGER),
    registry: new Registry(),
    gateway: 'gateway-1',
    send: (change) => {
      if (isFollowed) sent.push(change);
      return isFollowed;
    },
    isEnabled: isEnabled,
    areTrialsEnabled: areTrialsEnabled,
  });
  return { guard, clock, sent };
}

function agreed(state: QuarantineState, revision: number): QuarantineEntry {
  return { ...REQUEST, state, revision, trialHolder: '', ended: ['a', 'b', 'c'], endedInTrial: [] };
}

describe('the guard against requests that crash replicas', () => {
  it('lets one sending at a time try a request under which a replica ended', () => {
    const { guard } = createGuard();
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Allowed);
    guard.recordTermination(REQUEST, 'a', false);
    const woken = vi.fn();
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Trial);
    expect(guard.admit('f', woken)).toBe(CrashGuardDecision.Wait);
    guard.endTrial('f', TrialResult.Undecided);
    expect(woken).toHaveBeenCalledTimes(1);
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Trial);
    expect(guard.admit('other', nothing)).toBe(CrashGuardDecision.Allowed);
  });

  it('refuses it after two more ended in trials', () => {
    const { guard } = createGuard();
    guard.recordTermination(REQUEST, 'a', false);
    guard.recordTermination(REQUEST, 'b', true);
    expect(guard.isQuarantined('f')).toBe(false);
    guard.recordTermination(REQUEST, 'c', true);
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Refused);
  });

  it('holds nothing against a request that a replica answers, before or after', () => {
    const { guard, clock } = createGuard();
    for (const replica of ['a', 'b', 'c', 'd']) guard.recordTermination(REQUEST, replica, true);
    guard.recordAnswer('f');
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
    for (const replica of ['e', 'g', 'h', 'i']) guard.recordTermination(REQUEST, replica, true);
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
    clock.advance(10_000);
    for (const replica of ['j', 'k', 'l']) guard.recordTermination(REQUEST, replica, true);
    expect(guard.isQuarantined('f')).toBe(true);
  });

  it('speaks for a request that it saw answered a moment ago', () => {
    const { guard, sent } = createGuard();
    guard.recordAnswer('f');
    guard.applyEntry(agreed(QuarantineState.Quarantined, 4));
    expect(guard.isQuarantined('f')).toBe(false);
    expect(sent).toMatchObject([{ kind: QuarantineChangeKind.Answer, fingerprint: 'f' }]);
  });

  it('goes by the newest word of the controllers, whoever sends it', () => {
    const { guard } = createGuard();
    guard.applyEntry(agreed(QuarantineState.Quarantined, 4));
    expect(guard.isQuarantined('f')).toBe(true);
    guard.applyEntry(agreed(QuarantineState.Lifted, 5));
    guard.applyEntry(agreed(QuarantineState.Quarantined, 4));
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
  });

  it('counts abandoned attempts when their replica is found lost', () => {
    const { guard } = createGuard();
    guard.recordAbandonedAttempt('a', { request: REQUEST, isTrial: false }, 1_000);
    guard.recordReplicaLoss('b');
    expect(guard.isSuspected('f')).toBe(false);
    guard.recordReplicaLoss('a');
    expect(guard.isSuspected('f')).toBe(true);
  });

  it('lets everything pass when it is off', () => {
    const { guard } = createGuard({ isOn: false });
    for (const replica of ['a', 'b', 'c', 'd']) guard.recordTermination(REQUEST, replica, true);
    guard.applyEntry(agreed(QuarantineState.Quarantined, 4));
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Allowed);
  });

  it('refuses after three replicas when it makes no trials', () => {
    const { guard } = createGuard({ hasTrials: false });
    for (const replica of ['a', 'b']) guard.recordTermination(REQUEST, replica, false);
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Allowed);
    guard.recordTermination(REQUEST, 'c', false);
    expect(guard.admit('f', nothing)).toBe(CrashGuardDecision.Refused);
  });

  it('reports a bounded number of requests a second, trials and answers first', () => {
    const { guard, clock, sent } = createGuard();
    for (let index = 0; index < 5_000; index += 1) {
      guard.recordTermination({ fingerprint: `f-${index}`, description: '' }, 'a', false);
    }
    expect(sent).toEqual([]);
    guard.recordTermination(REQUEST, 'a', true);
    expect(sent).toMatchObject([{ fingerprint: 'f', endedInTrial: ['a'] }]);
    clock.advance(1_000);
    expect(sent.length).toBeLessThanOrEqual(100);
  });
});
