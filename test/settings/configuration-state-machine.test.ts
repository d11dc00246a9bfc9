import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { newDefaultScheduler } from '@most/scheduler';
import { runEffects, tap } from '@most/core';
import { applyOperations } from '../../src/settings/apply-operations.js';
import { encodeCommand } from '../../src/settings/configuration-command.js';
import { EMPTY_CONFIGURATION } from '../../src/settings/configuration-state.js';
import { ConfigurationStateMachine } from '../../src/settings/configuration-state-machine.js';
import { anyHistory } from './arbitraries.js';
import { applyChange, BOOTSTRAP, change, DOHOKU, setting } from './fixtures.js';

function startedMachine(options = {}): ConfigurationStateMachine {
  const machine = new ConfigurationStateMachine(options);
  applyChange(machine, change('change-000', 0, DOHOKU));
  return machine;
}

function copyOf(machine: ConfigurationStateMachine): ConfigurationStateMachine {
  const copy = new ConfigurationStateMachine();
  copy.restore(machine.snapshot());
  return copy;
}

/** Commands of several operators who each look at some earlier revision and sometimes resend. */
const racingCommands = fc.array(
  fc.record({
    operator: fc.integer({ min: 0, max: 2 }),
    lag: fc.integer({ min: 0, max: 2 }),
    resend: fc.boolean(),
  }),
  { minLength: 1, maxLength: 60 },
);

describe('ConfigurationStateMachine', () => {
  it('lets exactly one change win on each base revision, resends included', () => {
    fc.assert(
      fc.property(racingCommands, (commands) => {
        const machine = startedMachine();
        const winners = new Map<number, string>();
        const firstAnswers = new Map<string, string>();
        commands.forEach(({ operator, lag, resend }, index) => {
          const { revision } = machine.current();
          const base = Math.max(1, revision - lag);
          const request = change(`operator-${operator}-${index}`, base, [
            setting('defaults', 'queueLimit', index),
          ]);
          const { outcome } = applyChange(machine, request);
          firstAnswers.set(request.changeId, JSON.stringify(outcome));
          if (outcome.kind === 'accepted') {
            expect(winners.has(base)).toBe(false);
            winners.set(base, request.changeId);
            expect(outcome.revision).toBe(base + 1);
          } else {
            expect(outcome).toMatchObject({ kind: 'conflict', currentRevision: revision });
          }
          if (resend) {
            const again = applyChange(machine, request, BOOTSTRAP, 9_999);
            expect(JSON.stringify(again.outcome)).toBe(firstAnswers.get(request.changeId));
            expect(again.repeated).toBe(true);
          }
          expect(machine.current().revision).toBe(winners.size + 1);
        });
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('answers a resend alike after a snapshot was installed elsewhere', () => {
    const machine = startedMachine();
    const request = change('change-001', 1, [setting('defaults', 'queueLimit', 7)]);
    const first = applyChange(machine, request);
    const other = copyOf(machine);
    applyChange(other, change('change-002', 2, [setting('defaults', 'queueLimit', 8)]));
    expect(applyChange(other, request, BOOTSTRAP, 5_000)).toEqual({ ...first, repeated: true });
    expect(other.current().overrides['defaults']?.queueLimit).toBe(8);
  });

  it('refuses a change id that stood for something else, and changes nothing', () => {
    const machine = startedMachine();
    const before = machine.current();
    const other = change('change-000', 1, [setting('defaults', 'queueLimit', 7)]);
    expect(applyChange(machine, other).outcome).toEqual({ kind: 'changeIdReused' });
    expect(machine.current()).toBe(before);
  });

  it('never applies a resend twice after its outcome has left the window', () => {
    const machine = startedMachine({ outcomeWindow: 2 });
    const request = change('change-001', 1, [setting('defaults', 'queueLimit', 7)]);
    applyChange(machine, request);
    for (const base of [2, 3, 4]) {
      applyChange(
        machine,
        change(`change-00${base}`, base, [setting('defaults', 'queueLimit', 9)]),
      );
    }
    expect(machine.outcomeOf('change-001')).toBeUndefined();
    expect(applyChange(machine, request).outcome).toMatchObject({ kind: 'conflict' });
    expect(machine.current().overrides['defaults']?.queueLimit).toBe(9);
  });

  it('is the same from a snapshot and its later commands as from the whole history', () => {
    fc.assert(
      fc.property(anyHistory, fc.nat(), (history, cut) => {
        const machine = startedMachine();
        let restored = copyOf(machine);
        history.forEach((operations, index) => {
          if (index === cut % history.length) restored = copyOf(machine);
          const { revision } = machine.current();
          const request = change(`change-h-${index}`, revision, operations);
          expect(applyChange(restored, request)).toEqual(applyChange(machine, request));
        });
        expect(Buffer.from(restored.snapshot())).toEqual(Buffer.from(machine.snapshot()));
      }),
      { seed: 4, numRuns: 150 },
    );
  });

  it('streams to daemons all they need to reach the same configuration', async () => {
    const machine = new ConfigurationStateMachine();
    let daemon = EMPTY_CONFIGURATION;
    const follow = tap((accepted) => {
      daemon = applyOperations(daemon, accepted.operations);
      expect(daemon.revision).toBe(accepted.revision);
    }, machine.accepted);
    void runEffects(follow, newDefaultScheduler());
    await Promise.resolve();
    applyChange(machine, change('change-000', 0, DOHOKU));
    applyChange(machine, change('change-001', 0, DOHOKU));
    applyChange(machine, change('change-002', 1, [setting('zone/nayoro', 'queueLimit', 3)]));
    expect(daemon).toEqual(machine.current());
    expect(daemon.revision).toBe(2);
  });

  it('gives the later changes while it keeps them, and says when it does not', () => {
    const machine = startedMachine({ historyChanges: 2 });
    for (const base of [1, 2, 3]) {
      applyChange(
        machine,
        change(`change-00${base}`, base, [setting('defaults', 'queueLimit', 1)]),
      );
    }
    expect(machine.acceptedSince(4)).toEqual([]);
    expect(machine.acceptedSince(2)?.map(({ revision }) => revision)).toEqual([3, 4]);
    expect(machine.acceptedSince(1)).toBeUndefined();
    expect(machine.acceptedSince(5)).toBeUndefined();
    expect(machine.configurationAt(4)).toEqual(machine.current());
    expect(machine.configurationAt(2)).toMatchObject({ revision: 2, regions: { dohoku: {} } });
    expect(machine.configurationAt(1)).toBeUndefined();
    expect(copyOf(machine).configurationAt(3)).toEqual(machine.configurationAt(3));
  });

  it('turns garbage in the history into a refusal instead of a failure', () => {
    const machine = startedMachine();
    const before = machine.snapshot();
    for (const bytes of [new Uint8Array([1, 2]), new TextEncoder().encode('{"kind":"x"}')]) {
      expect(() => machine.apply(bytes, 2)).not.toThrow();
    }
    expect(machine.snapshot()).toEqual(before);
  });

  it('refuses a team the parts of the tree its token does not cover', () => {
    const machine = startedMachine();
    const token = { changeId: 'token-001', tokenId: 'audit', team: 'audit', hash: 'a'.repeat(64) };
    const scopes = ['service/kifu-audit'];
    const by = { author: 'sato', reason: 'test' };
    const request = { ...token, scopes, ...by };
    machine.apply(encodeCommand({ kind: 'createToken', principal: BOOTSTRAP, at: 1, request }), 2);
    const audit = { kind: 'token', tokenId: 'audit' } as const;
    const own = setting('service/kifu-audit', 'queueLimit', 5);
    const wide = setting('region/dohoku', 'queueLimit', 5);
    const attempt = (id: string, base: number, operations: Parameters<typeof change>[2]) =>
      applyChange(machine, change(id, base, operations), audit).outcome.kind;
    expect(attempt('change-000a', 1, [wide])).toBe('forbidden');
    expect(attempt('change-001', 1, [own, wide])).toBe('forbidden');
    expect(machine.current().revision).toBe(1);
    expect(attempt('change-002', 1, [own])).toBe('accepted');
    expect(machine.acceptedChanges().at(-1)).toMatchObject({ author: 'sato', team: 'audit' });
    const evil = { ...request, changeId: 'token-evil', tokenId: 'evil', scopes: ['defaults'] };
    machine.apply(
      encodeCommand({ kind: 'createToken', principal: audit, at: 2, request: evil }),
      3,
    );
    expect(machine.token('evil')).toBeUndefined();
    const revoke = { changeId: 'token-002', tokenId: 'audit', ...by };
    machine.apply(
      encodeCommand({ kind: 'revokeToken', principal: BOOTSTRAP, at: 2, request: revoke }),
      3,
    );
    expect(attempt('change-003', 2, [own])).toBe('forbidden');
  });
});
