import { describe, expect, it } from 'vitest';
import { countViolations } from '../../../lab/auditor/violation.js';
import type { ControllerView, RecoveryEvidence } from '../../../lab/recovery/recovery-evidence.js';
import { judgeRecovery } from '../../../lab/recovery/recovery-verdict.js';

type Changes = ControllerView['history']['changes'];

function changeAt(revision: number, changeId: string): Changes[number] {
  return { revision, changeId, author: 'a', reason: 'r', acceptedAt: 1, operations: [] };
}

const CHANGES = [changeAt(3, 'second'), changeAt(2, 'first'), changeAt(1, 'setup')];

function viewOf(memberId: string, changes: Changes, value = 20): ControllerView {
  return { memberId, value, history: { revision: changes[0]?.revision ?? 0, changes } };
}

const SOUND: RecoveryEvidence = {
  written: [
    { changeId: 'first', value: 10, outcome: 'accepted', revision: 2 },
    { changeId: 'refused', value: 15, outcome: 'refused' },
    { changeId: 'second', value: 20, outcome: 'accepted', revision: 3 },
    { changeId: 'lost', value: 25, outcome: 'unknown' },
  ],
  views: [viewOf('controller-1', CHANGES), viewOf('controller-2', CHANGES)],
  controllers: 2,
  kills: 1,
  routers: 2,
  inForce: 2,
  answered: 1,
  violations: countViolations([]),
  processes: {
    started: ['router-1'],
    ends: [{ name: 'router-1', exitCode: 0, hung: false }],
    killed: [],
  },
};

/** Both controllers tell the same wrong thing. */
function told(changes: Changes, value?: number): Partial<RecoveryEvidence> {
  return { views: ['controller-1', 'controller-2'].map((id) => viewOf(id, changes, value)) };
}

const BROKEN: readonly (readonly [string, Partial<RecoveryEvidence>, RegExp])[] = [
  ['a lost change', told(CHANGES.slice(1), 10), /lost the accepted change second/],
  [
    'a change at another revision',
    told([changeAt(3, 'first'), changeAt(2, 'second'), changeAt(1, 'setup')], 10),
    /has change first at 3, accepted at 2/,
  ],
  ['a change twice', told([changeAt(4, 'first'), ...CHANGES], 10), /change first 2 times/],
  ['a refused change', told([changeAt(4, 'refused'), ...CHANGES], 15), /which was refused/],
  ['a gap', told([changeAt(4, 'second'), ...CHANGES.slice(1)]), /a gap at revision 2/],
  ['an old value', told(CHANGES, 10), /says 10, the newest change said 20/],
  [
    'two histories',
    { views: [viewOf('controller-1', CHANGES), viewOf('controller-2', CHANGES.slice(1), 10)] },
    /different histories/,
  ],
  ['a silent controller', { views: [viewOf('controller-1', CHANGES)] }, /1 of 2 controllers/],
  ['a router behind', { inForce: 1 }, /in force at 1 of 2/],
  ['nothing accepted', { written: [] }, /nothing was accepted/],
  ['no kill', { kills: 0 }, /no controller was killed/],
  ['no answer', { answered: 0 }, /no query was answered/],
  [
    'a breach of a promise',
    { violations: { ...SOUND.violations, settingsReverted: 1 } },
    /1 of settingsReverted/,
  ],
  [
    'a daemon that failed',
    {
      processes: {
        ...SOUND.processes,
        ends: [{ name: 'router-1', exitCode: 1, hung: false }],
      },
    },
    /exit code 1/,
  ],
];

describe('the verdict on a recovery run', () => {
  it('finds nothing when every accepted change was kept, and an unknown one may be lost', () => {
    expect(judgeRecovery(SOUND)).toEqual([]);
    expect(judgeRecovery({ ...SOUND, ...told([changeAt(4, 'lost'), ...CHANGES], 25) })).toEqual([]);
  });

  it.each(BROKEN)('names %s', (_name, change, problem) => {
    expect(judgeRecovery({ ...SOUND, ...change }).join('\n')).toMatch(problem);
  });
});
