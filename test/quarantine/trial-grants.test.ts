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

function createGrants(isFollowed = true) {
  const clock = new ManualClock();
  const sent: QuarantineChange[] = [];
  const onChange = vi.fn();
  const send = (change: QuarantineChange): boolean => {
    sent.push(change);
    return isFollowed;
  };
  const grants = new TrialGrants({ clock, gateway: 'g', send, onChange: onChange });
  return { grants, clock, sent, onNews: onChange };
}

describe('permissions to try a request', () => {
  it('are asked for once, and used once', () => {
    const { grants, sent, onNews } = createGrants();
    expect(grants.tryUse(entry(''))).toBe(false);
    expect(grants.tryUse(entry(''))).toBe(false);
    expect(sent).toMatchObject([{ kind: QuarantineChangeKind.Trial, holder: 'g/1' }]);
    grants.applyEntry(entry('g/1'));
    expect(onNews).toHaveBeenCalledTimes(1);
    expect(grants.tryUse(entry('g/1'))).toBe(true);
    expect(grants.tryUse(entry('g/1'))).toBe(false);
    grants.release('f');
    expect(sent.at(-1)).toMatchObject({ kind: QuarantineChangeKind.TrialEnd, holder: 'g/1' });
  });

  it('are asked for again when another holder has ended its trial', () => {
    const { grants, sent } = createGrants();
    grants.tryUse(entry('other/1'));
    grants.applyEntry(entry(''));
    expect(sent).toHaveLength(2);
    expect(sent[1]).toMatchObject({ holder: 'g/1', replaces: '' });
  });

  it('replace a holder that is not heard of any more', () => {
    const { grants, clock, sent } = createGrants();
    grants.tryUse(entry('other/1'));
    clock.advance(1_500);
    expect(sent).toHaveLength(1);
    clock.advance(1_500);
    expect(sent[1]).toMatchObject({ holder: 'g/1', replaces: 'other/1' });
  });

  it('are not needed where no controller answers, or can be asked', () => {
    const { grants, clock, onNews } = createGrants();
    grants.tryUse(entry(''));
    clock.advance(1_000);
    expect(onNews).toHaveBeenCalledTimes(1);
    expect(grants.tryUse(entry(''))).toBe(true);
    expect(createGrants(false).grants.tryUse(entry(''))).toBe(true);
  });

  it('are given up when the trial hangs, so that others need not wait', () => {
    const { grants, clock, sent, onNews } = createGrants();
    grants.tryUse(entry(''));
    grants.applyEntry(entry('g/1'));
    grants.tryUse(entry('g/1'));
    clock.advance(10_000);
    expect(sent.at(-1)).toMatchObject({ kind: QuarantineChangeKind.TrialEnd, holder: 'g/1' });
    expect(onNews).toHaveBeenCalledTimes(2);
  });

  it('are not waited for once the request is not to be tried any more', () => {
    const { grants, clock, onNews } = createGrants();
    grants.tryUse(entry(''));
    grants.applyEntry(entry('', QuarantineState.Quarantined));
    clock.advance(10_000);
    expect(onNews).not.toHaveBeenCalled();
  });
});
