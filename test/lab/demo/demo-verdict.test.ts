import { describe, expect, it } from 'vitest';
import type { DemoEvidence } from '../../../lab/demo/demo-evidence.js';
import { failedDemo, judgeDemo } from '../../../lab/demo/demo-verdict.js';
import type { CallerLedgerEntry } from '../../../lab/ledger/caller-ledger-entry.js';
import { deriveResult, digestQuery } from '../../../lab/ledger/derived-result.js';

const SERVICE = 'kifu-audit';
const REPLICA = 'kifu-audit-0-0';
const DRAINED_AT = 1_000;
const ROUTER_END = { name: 'router-1', exitCode: 0, hung: false };
const ROUTERS = ['router-1', 'router-2'];

function answeredBy(target: string, requestId: string, sentAt: number): CallerLedgerEntry {
  const queryDigest = digestQuery(requestId);
  const origin = { service: SERVICE, shardId: 'shard-0', snapshot: '1.1', queryDigest };
  return {
    caller: 'caller-1',
    target,
    service: SERVICE,
    requestId,
    queryDigest,
    repeatable: true,
    keyed: false,
    deadlineMs: 1_000,
    scheduledAt: sentAt,
    sentAt,
    endedAt: sentAt + 10,
    latencyMs: 10,
    outcome: 'answered',
    status: 200,
    answer: {
      requestId,
      service: SERVICE,
      snapshot: { layoutEpoch: 1, indexVersion: 1 },
      coverage: { required: 1, reached: ['shard-0'], missing: [], fraction: 1 },
      settingsRevision: 2,
      attempts: { primary: 1, hedges: 0, retries: 0 },
      results: [{ shardId: 'shard-0', result: deriveResult(origin) }],
    },
  };
}

const CALLERS = ROUTERS.map((router, index) => answeredBy(router, `request-${index}`, 4_500));

/** A run in which everything went as it should. */
const SOUND: DemoEvidence = {
  planned: CALLERS.length,
  services: [SERVICE],
  routers: ROUTERS,
  callers: CALLERS,
  backends: {
    entries: CALLERS.map(({ requestId, queryDigest }) => ({
      replicaId: REPLICA,
      incarnation: 1,
      service: SERVICE,
      shardId: 'shard-0',
      snapshot: '1.1',
      requestId,
      attemptId: `${requestId}-1`,
      queryDigest,
      repeatable: true,
      receivedAt: 4_501,
      startedAt: 4_501,
      endedAt: 4_505,
      outcome: 'answered',
      resultDigest: 'any',
      faults: ['slow'],
    })),
    events: [{ replicaId: 'kifu-audit-0-1', incarnation: 1, kind: 'draining', at: DRAINED_AT }],
    holdings: ['kifu-audit-0-0', 'kifu-audit-0-1'].map((replicaId) => ({
      replicaId,
      service: SERVICE,
      snapshot: { layoutEpoch: 1, indexVersion: 1 },
      shardIds: ['shard-0'],
      at: 0,
    })),
  },
  replicas: { straggling: REPLICA, draining: 'kifu-audit-0-1' },
  change: { revision: 2, inForce: 2 },
  repartitioned: { service: SERVICE, layoutEpoch: 1 },
  inFlightAtStop: 1,
  processes: { started: ['router-1'], ends: [ROUTER_END], killed: [] },
};

const { backends, processes } = SOUND;

/** Each breaks one thing; the judge must name it. */
const BROKEN: readonly (readonly [string, Partial<DemoEvidence>, RegExp])[] = [
  ['no request ended', { callers: [] }, /0 of 2 requests were sent/],
  ['a request is missing', { planned: 3 }, /2 of 3 requests/],
  ['no answers', { callers: CALLERS.map(refuse) }, /only 0 of 2/],
  ['a silent service', { services: [SERVICE, 'receipt-desk'] }, /receipt-desk answered nothing/],
  ['a foreign reply', { callers: CALLERS.map(swapResult) }, /foreignReply/],
  [
    'work after 3 s of drain',
    { backends: { ...backends, entries: backends.entries.map(atDrained) } },
    /workAfterDrain/,
  ],
  ['no drain', { backends: { ...backends, events: [] } }, /never drained/],
  [
    'a drain too late to show',
    {
      backends: { ...backends, events: backends.events.map((event) => ({ ...event, at: 2_000 })) },
    },
    /not asked long enough/,
  ],
  [
    'no straggling',
    {
      backends: {
        ...backends,
        entries: backends.entries.map((entry) => ({ ...entry, faults: [] })),
      },
    },
    /never straggled/,
  ],
  ['no change', { change: undefined }, /no settings change/],
  ['a change refused', { change: { inForce: 0 } }, /no settings change/],
  ['a change not in force', { change: { revision: 2, inForce: 1 } }, /in force at 1 routers/],
  [
    'a change no answer shows',
    { change: { revision: 3, inForce: 2 } },
    /router-2 answered nothing/,
  ],
  ['no repartition', { repartitioned: undefined }, /no service was repartitioned/],
  [
    'a new layout that answered nothing',
    { repartitioned: { service: SERVICE, layoutEpoch: 2 } },
    /answered nothing on layout 2/,
  ],
  ['nothing in flight at the stop', { inFlightAtStop: 0 }, /no query was in flight/],
  [
    'a daemon that failed',
    { processes: { ...processes, ends: [{ ...ROUTER_END, exitCode: 1 }] } },
    /router-1 ended with exit code 1/,
  ],
];

function refuse(entry: CallerLedgerEntry): CallerLedgerEntry {
  const error = { code: 'refused_not_run' as const, message: 'full', mayHaveRun: false };
  return { ...entry, answer: undefined, outcome: 'refused_not_run', status: 503, error };
}

function swapResult(entry: CallerLedgerEntry): CallerLedgerEntry {
  const other = CALLERS.find(({ requestId }) => requestId !== entry.requestId)?.answer;
  if (entry.answer === undefined || other === undefined) return entry;
  return { ...entry, answer: { ...entry.answer, results: other.results } };
}

function atDrained(
  entry: DemoEvidence['backends']['entries'][number],
): DemoEvidence['backends']['entries'][number] {
  return { ...entry, replicaId: 'kifu-audit-0-1' };
}

describe('the verdict on a demo', () => {
  it('is ok when everything went as it should', () => {
    const { summary, problems } = judgeDemo(SOUND);
    expect(problems).toEqual([]);
    expect(summary).toMatchObject({ ok: true, requests: 2, answered: 2, refused: 0 });
  });

  it.each(BROKEN)('is not ok with %s', (_name, change, problem) => {
    const { summary, problems } = judgeDemo({ ...SOUND, ...change });
    expect(summary.ok).toBe(false);
    expect(problems.join('\n')).toMatch(problem);
  });

  it('is not ok when the run could not be finished', () => {
    expect(failedDemo('interrupted').summary.ok).toBe(false);
  });
});
