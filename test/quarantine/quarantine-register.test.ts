import { describe, expect, it } from 'vitest';
import { MAXIMUM_ENTRIES, QuarantineState } from '../../src/quarantine/quarantine-entry.js';
import {
  NO_EVIDENCE,
  QuarantineChangeKind,
  QuarantineRegister,
  decodeQuarantineOutcome,
  encodeQuarantineChanges,
  type QuarantineChange,
} from '../../src/quarantine/quarantine-register.js';

function evidence(fingerprint: string, ended: string[], endedInTrial: string[] = []) {
  return {
    ...NO_EVIDENCE,
    kind: QuarantineChangeKind.Evidence,
    fingerprint,
    description: 'GET desk.example/q',
    ended,
    endedInTrial,
  };
}

function end(kind: QuarantineChangeKind, fingerprint: string): QuarantineChange {
  return { ...NO_EVIDENCE, kind, fingerprint };
}

function trial(holder: string, replaces = ''): QuarantineChange {
  const fingerprint = 'f';
  return { ...NO_EVIDENCE, kind: QuarantineChangeKind.Trial, fingerprint, holder, replaces };
}

function applyTo(register: QuarantineRegister, ...changes: QuarantineChange[]): number {
  return decodeQuarantineOutcome(register.apply(encodeQuarantineChanges(changes)));
}

function stateOf(register: QuarantineRegister, fingerprint: string): string | undefined {
  return register.find(fingerprint)?.state;
}

describe('the register of requests under which replicas ended', () => {
  it('suspects a request after three replicas, whichever gateways saw them', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a']), evidence('f', ['b']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Observed);
    applyTo(register, evidence('f', ['c']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Suspected);
  });

  it('does not count a replica twice', () => {
    const register = new QuarantineRegister();
    expect(applyTo(register, evidence('f', ['a', 'b']))).toBe(1);
    expect(applyTo(register, evidence('f', ['b', 'a', 'a']))).toBe(0);
    expect(stateOf(register, 'f')).toBe(QuarantineState.Observed);
  });

  it('quarantines it once two ended in trials, and not before three ended', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b'], ['a', 'b']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Suspected);
    applyTo(register, evidence('f', ['c']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Quarantined);
  });

  it.each([QuarantineChangeKind.Answer, QuarantineChangeKind.Lift])(
    'holds nothing against it after its %s, nor the same replicas told again',
    (kind) => {
      const register = new QuarantineRegister();
      const known = evidence('f', ['a', 'b', 'c'], ['b', 'c']);
      applyTo(register, known, end(kind, 'f'));
      expect(applyTo(register, known)).toBe(0);
      expect(applyTo(register, evidence('f', ['c', 'd']))).toBe(1);
      expect(register.find('f')).toMatchObject({ state: QuarantineState.Observed, ended: ['d'] });
    },
  );

  it('takes an end of what it does not know, or that has ended, for no change', () => {
    const register = new QuarantineRegister();
    expect(applyTo(register, end(QuarantineChangeKind.Lift, 'f'))).toBe(0);
    applyTo(register, evidence('f', ['a', 'b', 'c']), end(QuarantineChangeKind.Lift, 'f'));
    expect(applyTo(register, end(QuarantineChangeKind.Answer, 'f'))).toBe(0);
    expect(stateOf(register, 'f')).toBe(QuarantineState.Lifted);
  });

  it('changes nothing by a change of a kind that is not known here', () => {
    const register = new QuarantineRegister();
    const change = { ...evidence('f', ['a']), kind: 'later' as QuarantineChangeKind };
    expect(applyTo(register, change)).toBe(0);
  });

  it('lets one holder at a time try a suspected request', () => {
    const register = new QuarantineRegister();
    applyTo(register, trial('first'));
    expect(register.find('f')).toBeUndefined();
    applyTo(register, evidence('f', ['a', 'b', 'c']), trial('first'));
    expect(applyTo(register, trial('second'), trial('first'))).toBe(0);
    expect(register.find('f')?.trialHolder).toBe('first');
    applyTo(register, trial('second', 'first'));
    expect(register.find('f')?.trialHolder).toBe('second');
    expect(applyTo(register, { ...trial('first'), kind: QuarantineChangeKind.TrialEnd })).toBe(0);
    applyTo(register, { ...trial('second'), kind: QuarantineChangeKind.TrialEnd });
    expect(register.find('f')?.trialHolder).toBe('');
  });

  it('has the trial over once a replica ended in it, or was the request cleared', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b', 'c']), trial('first'));
    applyTo(register, evidence('f', ['d'], ['d']));
    expect(register.find('f')?.trialHolder).toBe('');
    applyTo(register, trial('second'), end(QuarantineChangeKind.Answer, 'f'));
    expect(register.find('f')?.trialHolder).toBe('');
    expect(applyTo(register, trial('third'))).toBe(0);
  });

  it('keeps to its bound, and quarantined requests longest', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('kept', ['a', 'b', 'c'], ['b', 'c']));
    for (let index = 0; index < MAXIMUM_ENTRIES + 50; index += 1) {
      applyTo(register, evidence(`f-${index}`, ['a']));
    }
    expect(register.all()).toHaveLength(MAXIMUM_ENTRIES);
    expect(stateOf(register, 'kept')).toBe(QuarantineState.Quarantined);
    expect(register.changedAfter(0)).toHaveLength(MAXIMUM_ENTRIES);
  });

  it('keeps few replicas of one request, with bounded ids', () => {
    const register = new QuarantineRegister();
    const many = Array.from({ length: 100 }, (_, index) => `${index}`.padEnd(400, 'x'));
    applyTo(register, evidence('f', many.slice(0, 2)));
    const { ended = [] } = register.find('f') ?? {};
    expect(ended.join('').length).toBeLessThan(200);
  });

  it('is the same after a snapshot', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b', 'c'], ['b', 'c']), evidence('g', ['a']));
    applyTo(register, end(QuarantineChangeKind.Lift, 'f'));
    const restored = new QuarantineRegister();
    restored.restore(register.snapshot());
    expect(restored.all()).toEqual(register.all());
    applyTo(register, evidence('h', ['a']));
    applyTo(restored, evidence('h', ['a']));
    expect(restored.all()).toEqual(register.all());
    expect(restored.changedAfter(0)).toHaveLength(3);
  });
});
