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
const noop = (): void => undefined;

interface Parts {
  readonly guard: CrashGuard;
  readonly clock: ManualClock;
  readonly sent: QuarantineChange[];
}

function createGuard({
  isEnabled = true,
  areTrialsEnabled = true,
  isConnected = true,
} = {}): Parts {
  const clock = new ManualClock();
  const sent: QuarantineChange[] = [];
  const guard = new CrashGuard({
    clock,
    log: new DecisionLog(clock, SILENT_LOGGER),
    registry: new Registry(),
    gateway: 'gateway-1',
    send: (change) => {
      if (isConnected) sent.push(change);
      return isConnected;
    },
    isEnabled,
    areTrialsEnabled,
  });
  return { guard, clock, sent };
}

function replicatedEntry(state: QuarantineState, revision: number): QuarantineEntry {
  return { ...REQUEST, state, revision, trialHolder: '', ended: ['a', 'b', 'c'], endedInTrial: [] };
}

describe('CrashGuard of a gateway', () => {
  it('admits one trial at a time of a request with which a replica terminated', () => {
    const { guard } = createGuard();
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Allowed);
    guard.recordTermination(REQUEST, 'a', false);
    const onChange = vi.fn();
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Trial);
    expect(guard.admit('f', onChange)).toBe(CrashGuardDecision.Wait);
    guard.endTrial('f', TrialResult.Undecided);
    expect(onChange).toHaveBeenCalledTimes(1);
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Trial);
    expect(guard.admit('other', noop)).toBe(CrashGuardDecision.Allowed);
  });

  it('refuses a request after two more replicas terminated in its trials', () => {
    const { guard } = createGuard();
    guard.recordTermination(REQUEST, 'a', false);
    guard.recordTermination(REQUEST, 'b', true);
    expect(guard.isQuarantined('f')).toBe(false);
    guard.recordTermination(REQUEST, 'c', true);
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Refused);
  });

  it('clears a request that a replica answers, and ignores its terminations shortly after the answer', () => {
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

  it('does not refuse a quarantined request that it saw answered recently, and reports the answer', () => {
    const { guard, sent } = createGuard();
    guard.recordAnswer('f');
    guard.applyEntry(replicatedEntry(QuarantineState.Quarantined, 4));
    expect(guard.isQuarantined('f')).toBe(false);
    expect(sent).toMatchObject([{ kind: QuarantineChangeKind.Answer, fingerprint: 'f' }]);
  });

  it('applies only the newest replicated entry of a request', () => {
    const { guard } = createGuard();
    guard.applyEntry(replicatedEntry(QuarantineState.Quarantined, 4));
    expect(guard.isQuarantined('f')).toBe(true);
    guard.applyEntry(replicatedEntry(QuarantineState.Lifted, 5));
    guard.applyEntry(replicatedEntry(QuarantineState.Quarantined, 4));
    expect(guard.stateOf('f')).toBe(QuarantineState.Observed);
  });

  it('counts a termination for abandoned attempts when their replica is lost', () => {
    const { guard } = createGuard();
    guard.recordAbandonedAttempt('a', { request: REQUEST, isTrial: false }, 1_000);
    guard.recordReplicaLoss('b');
    expect(guard.isSuspected('f')).toBe(false);
    guard.recordReplicaLoss('a');
    expect(guard.isSuspected('f')).toBe(true);
  });

  it('admits every request when it is disabled', () => {
    const { guard } = createGuard({ isEnabled: false });
    for (const replica of ['a', 'b', 'c', 'd']) guard.recordTermination(REQUEST, replica, true);
    guard.applyEntry(replicatedEntry(QuarantineState.Quarantined, 4));
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Allowed);
  });

  it('refuses a request after three terminated replicas when trials are disabled', () => {
    const { guard } = createGuard({ areTrialsEnabled: false });
    for (const replica of ['a', 'b']) guard.recordTermination(REQUEST, replica, false);
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Allowed);
    guard.recordTermination(REQUEST, 'c', false);
    expect(guard.admit('f', noop)).toBe(CrashGuardDecision.Refused);
  });

  it('reports a bounded number of requests per second, terminations in trials at once', () => {
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
