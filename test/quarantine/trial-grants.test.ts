import { describe, expect, it, vi } from 'vitest';
import { QuarantineState, type QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';
import {
  QuarantineChangeKind,
  type QuarantineChange,
} from '../../src/quarantine/quarantine-register.js';
import { TrialGrants } from '../../src/quarantine/trial-grants.js';
import { ManualClock } from '../support/manual-clock.js';

function entry(trialHolder: string, state = QuarantineState.Suspected): QuarantineEntry {
  const evidence = { ended: ['a', 'b', 'c'], endedInTrial: [] };
  return { fingerprint: 'f', description: '', state, trialHolder, revision: 1, ...evidence };
}

function createGrants(isConnected = true) {
  const clock = new ManualClock();
  const sent: QuarantineChange[] = [];
  const onChange = vi.fn();
  const send = (change: QuarantineChange): boolean => {
    sent.push(change);
    return isConnected;
  };
  const grants = new TrialGrants({ clock, gateway: 'g', send, onChange });
  return { grants, clock, sent, onChange };
}

describe('TrialGrants of a gateway', () => {
  it('requests a grant once and uses it once', () => {
    const { grants, sent, onChange } = createGrants();
    expect(grants.tryUse(entry(''))).toBe(false);
    expect(grants.tryUse(entry(''))).toBe(false);
    expect(sent).toMatchObject([{ kind: QuarantineChangeKind.Trial, holder: 'g/1' }]);
    grants.applyEntry(entry('g/1'));
    expect(onChange).toHaveBeenCalledTimes(1);
    expect(grants.tryUse(entry('g/1'))).toBe(true);
    expect(grants.tryUse(entry('g/1'))).toBe(false);
    grants.release('f');
    expect(sent.at(-1)).toMatchObject({ kind: QuarantineChangeKind.TrialEnd, holder: 'g/1' });
  });

  it('requests a grant again when another holder has ended its trial', () => {
    const { grants, sent } = createGrants();
    grants.tryUse(entry('other/1'));
    grants.applyEntry(entry(''));
    expect(sent).toHaveLength(2);
    expect(sent[1]).toMatchObject({ holder: 'g/1', replaces: '' });
  });

  it('requests to replace a holder that has timed out', () => {
    const { grants, clock, sent } = createGrants();
    grants.tryUse(entry('other/1'));
    clock.advance(1_500);
    expect(sent).toHaveLength(1);
    clock.advance(1_500);
    expect(sent[1]).toMatchObject({ holder: 'g/1', replaces: 'other/1' });
  });

  it('grants a trial itself when no controller answers or is connected', () => {
    const { grants, clock, onChange } = createGrants();
    grants.tryUse(entry(''));
    clock.advance(1_000);
    expect(onChange).toHaveBeenCalledTimes(1);
    expect(grants.tryUse(entry(''))).toBe(true);
    expect(createGrants(false).grants.tryUse(entry(''))).toBe(true);
  });

  it('gives the grant back when the trial hangs, so that other holders need not wait', () => {
    const { grants, clock, sent, onChange } = createGrants();
    grants.tryUse(entry(''));
    grants.applyEntry(entry('g/1'));
    grants.tryUse(entry('g/1'));
    clock.advance(10_000);
    expect(sent.at(-1)).toMatchObject({ kind: QuarantineChangeKind.TrialEnd, holder: 'g/1' });
    expect(onChange).toHaveBeenCalledTimes(2);
  });

  it('drops a grant request once the request is quarantined', () => {
    const { grants, clock, onChange } = createGrants();
    grants.tryUse(entry(''));
    grants.applyEntry(entry('', QuarantineState.Quarantined));
    clock.advance(10_000);
    expect(onChange).not.toHaveBeenCalled();
  });
});
