import { describe, expect, it } from 'vitest';
import type { AuditEvidence } from '../../../lab/auditor/audit-evidence.js';
import { checkStops } from '../../../lab/auditor/check-stops.js';

const PROCESS = { replicaId: 'replica-1', incarnation: 1 };
const QUERY = { service: 'kifu-audit', queryDigest: 'a', requestId: 'request-1' };
const GRACE = 3_000;

/** Work that reaches a back end 1 ms after the grace, for a request that ended at `endedAt`. */
function lateWork(endedAt: number, outcome = 'answered'): AuditEvidence {
  const told = outcome === 'answered' ? { answer: {} } : {};
  return {
    backends: {
      entries: [{ ...PROCESS, ...QUERY, receivedAt: GRACE + 1, outcome: 'not_started' }],
      events: [{ ...PROCESS, kind: 'draining', at: 0 }],
      holdings: [],
    },
    callers: [{ ...QUERY, target: 'router-1', sentAt: 0, endedAt, outcome, ...told }],
    terms: { drainGrace: GRACE, settingsLag: 0, unplannedLosses: [] },
  } as unknown as AuditEvidence;
}

describe('work at a draining back end', () => {
  it('is a breach when its request was still open after the grace', () => {
    expect(checkStops(lateWork(GRACE + 1)).map(({ kind }) => kind)).toEqual(['workAfterDrain']);
  });

  it('is none when the router had answered before: a cut of the network held it up', () => {
    expect(checkStops(lateWork(GRACE))).toEqual([]);
  });

  it('is a breach when its caller never heard from the router', () => {
    const kinds = checkStops(lateWork(10, 'connect_failed')).map(({ kind }) => kind);
    expect(kinds).toEqual(['workAfterDrain']);
  });
});
