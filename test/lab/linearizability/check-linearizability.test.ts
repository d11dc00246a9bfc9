import { describe, expect, it } from 'vitest';
import { checkLinearizability } from '../../../lab/linearizability/check-linearizability.js';
import type {
  RegisterAnswer,
  RegisterOperation,
} from '../../../lab/linearizability/register-operation.js';

const INITIAL = { revision: 0, value: undefined };
const UNKNOWN: RegisterAnswer = { kind: 'unknown' };
const CONFLICT: RegisterAnswer = { kind: 'conflict' };

function change(
  [startedAt, endedAt]: [number, number],
  baseRevision: number,
  answer: RegisterAnswer = { kind: 'accepted', revision: baseRevision + 1 },
): RegisterOperation {
  const value = baseRevision + 1;
  const request = { kind: 'change', baseRevision, value } as const;
  return { client: 'operator', request, answer, startedAt, endedAt };
}

function read([startedAt, endedAt]: [number, number], revision: number): RegisterOperation {
  const value = revision === 0 ? undefined : revision;
  const answer = { kind: 'read', state: { revision, value } } as const;
  return { client: 'operator', request: { kind: 'read' }, answer, startedAt, endedAt };
}

describe('linearizability of a register changed by compare-and-set', () => {
  it.each<[string, RegisterOperation[]]>([
    ['changes one after another', [change([0, 1], 0), change([2, 3], 1), read([4, 5], 2)]],
    ['a read beside a change, before it', [change([0, 9], 0), read([1, 2], 0)]],
    ['a read beside a change, after it', [change([0, 9], 0), read([1, 2], 1)]],
    ['a conflict beside the winner', [change([0, 9], 0), change([1, 8], 0, CONFLICT)]],
    [
      'an unanswered change that is seen later',
      [change([0, Infinity], 0, UNKNOWN), read([8, 9], 1)],
    ],
    ['an unanswered change that never ran', [change([0, Infinity], 0, UNKNOWN), read([8, 9], 0)]],
    [
      'an unanswered change that runs between two reads',
      [change([0, Infinity], 0, UNKNOWN), read([5, 6], 0), read([8, 9], 1)],
    ],
  ])('finds %s in order', (_, history) => {
    expect(checkLinearizability(history, INITIAL)).toMatchObject({ linearizable: true });
  });

  it.each<[string, RegisterOperation[]]>([
    ['a stale read', [change([0, 1], 0), read([2, 3], 0)]],
    ['a read that goes back', [change([0, 9], 0), read([1, 2], 1), read([3, 4], 0)]],
    ['two winners of one revision', [change([0, 9], 0), change([1, 8], 0)]],
    ['a lost change', [change([0, 1], 0), change([2, 3], 1), read([4, 5], 1)]],
    ['a conflict with nothing', [change([0, 1], 0, CONFLICT)]],
    ['a change seen before it was sent', [read([0, 1], 1), change([2, 3], 0)]],
    [
      'an unanswered change that is undone',
      [change([0, Infinity], 0, UNKNOWN), read([5, 6], 1), read([8, 9], 0)],
    ],
  ])('finds %s out', (_, history) => {
    const verdict = checkLinearizability(history, INITIAL);
    expect(verdict).toMatchObject({ linearizable: false, complete: true });
    expect(verdict.stuckAt.length).toBeGreaterThan(0);
  });

  it('says so when it gives up', () => {
    const history = [change([0, 1], 0), change([2, 3], 1)];
    expect(checkLinearizability(history, INITIAL, 1)).toMatchObject({
      linearizable: false,
      complete: false,
    });
  });
});
