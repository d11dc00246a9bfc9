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

function change(kind: QuarantineChangeKind, fingerprint: string): QuarantineChange {
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

describe('QuarantineRegister of a controller', () => {
  it('suspects a request after three terminated replicas, whichever gateways report them', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a']), evidence('f', ['b']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Observed);
    applyTo(register, evidence('f', ['c']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Suspected);
  });

  it('counts each replica once', () => {
    const register = new QuarantineRegister();
    expect(applyTo(register, evidence('f', ['a', 'b']))).toBe(1);
    expect(applyTo(register, evidence('f', ['b', 'a', 'a']))).toBe(0);
    expect(stateOf(register, 'f')).toBe(QuarantineState.Observed);
  });

  it('quarantines a request after three terminated replicas of which two were in trials', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b'], ['a', 'b']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Suspected);
    applyTo(register, evidence('f', ['c']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Quarantined);
  });

  it.each([QuarantineChangeKind.Answer, QuarantineChangeKind.Lift])(
    'discards the evidence after a change of kind %s, and does not count the same replicas again',
    (kind) => {
      const register = new QuarantineRegister();
      const known = evidence('f', ['a', 'b', 'c'], ['b', 'c']);
      applyTo(register, known, change(kind, 'f'));
      expect(applyTo(register, known)).toBe(0);
      expect(applyTo(register, evidence('f', ['c', 'd']))).toBe(1);
      expect(register.find('f')).toMatchObject({ state: QuarantineState.Observed, ended: ['d'] });
    },
  );

  // Guards against a late copy of a lift that ends a newer quarantine.
  it('lifts an entry only while it has the revision that the lift follows', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b', 'c']));
    const expectedRevision = register.find('f')?.revision ?? expect.fail('no entry');
    const lift = { ...change(QuarantineChangeKind.ConditionalLift, 'f'), expectedRevision };
    expect(applyTo(register, lift)).toBe(1);
    applyTo(register, evidence('f', ['d', 'e', 'g']));
    expect(stateOf(register, 'f')).toBe(QuarantineState.Suspected);
    expect(applyTo(register, lift)).toBe(0);
    expect(stateOf(register, 'f')).toBe(QuarantineState.Suspected);
  });

  it('ignores an answer or a lift for a request without an entry or with a cleared one', () => {
    const register = new QuarantineRegister();
    expect(applyTo(register, change(QuarantineChangeKind.Lift, 'f'))).toBe(0);
    applyTo(register, evidence('f', ['a', 'b', 'c']), change(QuarantineChangeKind.Lift, 'f'));
    expect(applyTo(register, change(QuarantineChangeKind.Answer, 'f'))).toBe(0);
    expect(stateOf(register, 'f')).toBe(QuarantineState.Lifted);
  });

  it('ignores a change of an unknown kind', () => {
    const register = new QuarantineRegister();
    const unknown = { ...evidence('f', ['a']), kind: 'later' as QuarantineChangeKind };
    expect(applyTo(register, unknown)).toBe(0);
  });

  it('grants a trial of a suspected request to one holder at a time', () => {
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

  it('ends a trial once a replica terminated in it or the request was answered', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b', 'c']), trial('first'));
    applyTo(register, evidence('f', ['d'], ['d']));
    expect(register.find('f')?.trialHolder).toBe('');
    applyTo(register, trial('second'), change(QuarantineChangeKind.Answer, 'f'));
    expect(register.find('f')?.trialHolder).toBe('');
    expect(applyTo(register, trial('third'))).toBe(0);
  });

  it('bounds its entries, and evicts quarantined ones last', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('kept', ['a', 'b', 'c'], ['b', 'c']));
    for (let index = 0; index < MAXIMUM_ENTRIES + 50; index += 1) {
      applyTo(register, evidence(`f-${index}`, ['a']));
    }
    expect(register.all()).toHaveLength(MAXIMUM_ENTRIES);
    expect(stateOf(register, 'kept')).toBe(QuarantineState.Quarantined);
    expect(register.changedAfter(0)).toHaveLength(MAXIMUM_ENTRIES);
  });

  it('bounds the replica ids of a request in length', () => {
    const register = new QuarantineRegister();
    const many = Array.from({ length: 100 }, (_, index) => `${index}`.padEnd(400, 'x'));
    applyTo(register, evidence('f', many.slice(0, 2)));
    const { ended = [] } = register.find('f') ?? {};
    expect(ended.join('').length).toBeLessThan(200);
  });

  it('has the same entries and behaves the same after it is restored from a snapshot', () => {
    const register = new QuarantineRegister();
    applyTo(register, evidence('f', ['a', 'b', 'c'], ['b', 'c']), evidence('g', ['a']));
    applyTo(register, change(QuarantineChangeKind.Lift, 'f'));
    const restored = new QuarantineRegister();
    restored.restore(register.snapshot());
    expect(restored.all()).toEqual(register.all());
    applyTo(register, evidence('h', ['a']));
    applyTo(restored, evidence('h', ['a']));
    expect(restored.all()).toEqual(register.all());
    expect(restored.changedAfter(0)).toHaveLength(3);
  });
});
