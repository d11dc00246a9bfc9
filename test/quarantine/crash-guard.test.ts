import { Registry } from 'prom-client';
import { describe, expect, it, vi } from 'vitest';
import { DecisionLog } from '../../src/observability/decision-log.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { Admission, CrashGuard } from '../../src/quarantine/crash-guard.js';
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

function createGuard({ isOn = true, hasTrials = true, isFollowed = true } = {}): Parts {
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
    isOn,
    hasTrials,
  });
  return { guard, clock, sent };
}

function agreed(state: QuarantineState, revision: number): QuarantineEntry {
  return { ...REQUEST, state, revision, trialHolder: '', ended: ['a', 'b', 'c'], endedInTrial: [] };
}

describe('the guard against requests that crash replicas', () => {
  it('lets one sending at a time try a request under which a replica ended', () => {
    const { guard } = createGuard();
    expect(guard.admit('f', nothing)).toBe(Admission.Free);
    guard.noteEnded(REQUEST, 'a', false);
    const woken = vi.fn();
    expect(guard.admit('f', nothing)).toBe(Admission.Trial);
    expect(guard.admit('f', woken)).toBe(Admission.Wait);
    guard.endTrial('f', TrialResult.Undecided);
    expect(woken).toHaveBeenCalledTimes(1);
    expect(guard.admit('f', nothing)).toBe(Admission.Trial);
    expect(guard.admit('other', nothing)).toBe(Admission.Free);
  });

  it('refuses it after two more ended in trials', () => {
    const { guard } = createGuard();
    guard.noteEnded(REQUEST, 'a', false);
    guard.noteEnded(REQUEST, 'b', true);
    expect(guard.isQuarantined('f')).toBe(false);
    guard.noteEnded(REQUEST, 'c', true);
    expect(guard.admit('f', nothing)).toBe(Admission.Refused);
  });

  it('holds nothing against a request that a replica answers, before or after', () => {
    const { guard, clock } = createGuard();
    for (const replica of ['a', 'b', 'c', 'd']) guard.noteEnded(REQUEST, replica, true);
    guard.noteAnswer('f');
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
    for (const replica of ['e', 'g', 'h', 'i']) guard.noteEnded(REQUEST, replica, true);
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
    clock.advance(10_000);
    for (const replica of ['j', 'k', 'l']) guard.noteEnded(REQUEST, replica, true);
    expect(guard.isQuarantined('f')).toBe(true);
  });

  it('speaks for a request that it saw answered a moment ago', () => {
    const { guard, sent } = createGuard();
    guard.noteAnswer('f');
    guard.take(agreed(QuarantineState.Quarantined, 4));
    expect(guard.isQuarantined('f')).toBe(false);
    expect(sent).toMatchObject([{ kind: QuarantineChangeKind.Answer, fingerprint: 'f' }]);
  });

  it('goes by the newest word of the controllers, whoever sends it', () => {
    const { guard } = createGuard();
    guard.take(agreed(QuarantineState.Quarantined, 4));
    expect(guard.isQuarantined('f')).toBe(true);
    guard.take(agreed(QuarantineState.Lifted, 5));
    guard.take(agreed(QuarantineState.Quarantined, 4));
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
  });

  it('counts abandoned attempts when their replica is found lost', () => {
    const { guard } = createGuard();
    guard.noteAbandoned('a', { request: REQUEST, isTrial: false }, 1_000);
    guard.noteReplicaLost('b');
    expect(guard.isSuspected('f')).toBe(false);
    guard.noteReplicaLost('a');
    expect(guard.isSuspected('f')).toBe(true);
  });

  it('lets everything pass when it is off', () => {
    const { guard } = createGuard({ isOn: false });
    for (const replica of ['a', 'b', 'c', 'd']) guard.noteEnded(REQUEST, replica, true);
    guard.take(agreed(QuarantineState.Quarantined, 4));
    expect(guard.admit('f', nothing)).toBe(Admission.Free);
  });

  it('refuses after three replicas when it makes no trials', () => {
    const { guard } = createGuard({ hasTrials: false });
    for (const replica of ['a', 'b']) guard.noteEnded(REQUEST, replica, false);
    expect(guard.admit('f', nothing)).toBe(Admission.Free);
    guard.noteEnded(REQUEST, 'c', false);
    expect(guard.admit('f', nothing)).toBe(Admission.Refused);
  });

  it('reports a bounded number of requests a second, trials and answers first', () => {
    const { guard, clock, sent } = createGuard();
    for (let index = 0; index < 5_000; index += 1) {
      guard.noteEnded({ fingerprint: `f-${index}`, description: '' }, 'a', false);
    }
    expect(sent).toEqual([]);
    guard.noteEnded(REQUEST, 'a', true);
    expect(sent).toMatchObject([{ fingerprint: 'f', endedInTrial: ['a'] }]);
    clock.advance(1_000);
    expect(sent.length).toBeLessThanOrEqual(100);
  });
});
