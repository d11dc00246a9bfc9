import { describe, expect, it } from 'vitest';
import type { CallerLedgerEntry } from '../../../lab/ledger/caller-ledger-entry.js';
import {
  checkAcknowledgements,
  checkForce,
  checkHistory,
  checkRouterRevisions,
  FORCE_BOUND,
} from '../../../lab/simulate/check-acknowledged-changes.js';
import { OperatorLedger } from '../../../lab/simulate/operator-ledger.js';

function acknowledge(...changes: [changeId: string, revision: number][]): OperatorLedger {
  const ledger = new OperatorLedger();
  for (const [changeId, revision] of changes) {
    ledger.record({ changeId, endedAt: 1_000, outcome: { kind: 'accepted', revision } });
  }
  return ledger;
}

function answeredUnder(settingsRevision: number, sentAt: number): CallerLedgerEntry {
  const told = { requestId: 'request-1', target: 'router-1', service: 'kifu-audit' };
  return { ...told, repeatable: true, sentAt, answer: { settingsRevision } } as CallerLedgerEntry;
}

describe('what operators were told', () => {
  it('must not name two revisions for a change, nor one revision for two changes', () => {
    expect(checkAcknowledgements(acknowledge(['a', 1], ['a', 1], ['b', 2]))).toEqual([]);
    expect(checkAcknowledgements(acknowledge(['a', 1], ['a', 2]))).toHaveLength(1);
    expect(checkAcknowledgements(acknowledge(['a', 1], ['b', 1]))).toHaveLength(1);
  });

  it('must still be in the history, as the same revision', () => {
    const changes = acknowledge(['a', 1]).acknowledged();
    expect(checkHistory(changes, [{ changeId: 'a', revision: 1 }])).toEqual([]);
    expect(checkHistory(changes, [{ changeId: 'a', revision: 2 }])).toHaveLength(1);
    expect(checkHistory(changes, [])).toHaveLength(1);
  });

  it('must be in force at every router within the bound', () => {
    const changes = acknowledge(['a', 7]).acknowledged();
    const due = 1_000 + FORCE_BOUND;
    expect(checkForce(changes, [answeredUnder(6, due)])).toEqual([]);
    expect(checkForce(changes, [answeredUnder(7, due + 1)])).toEqual([]);
    expect(checkForce(changes, [answeredUnder(6, due + 1)])).toHaveLength(1);
  });

  it('must never go down within one life of a router', () => {
    const inForce = (life: number, revision: number) => ({
      router: 'router-1',
      life,
      revision,
      at: 0,
    });
    expect(checkRouterRevisions([inForce(1, 1), inForce(1, 3), inForce(2, 2)])).toEqual([]);
    expect(checkRouterRevisions([inForce(1, 3), inForce(1, 2)])).toHaveLength(1);
  });
});
