import { describe, expect, it } from 'vitest';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import { ColdSendLimiter } from '../../src/gateway/cold-send-limiter.js';
import { ReplicaTarget } from '../../src/gateway/replica-target.js';
import type { HttpClient } from '../../src/seams/http.js';

const CLIENT: HttpClient = {
  request: () => new Promise(() => undefined),
  close: () => Promise.resolve(),
  destroy: () => undefined,
};

function create(): ReplicaTarget {
  const entry = {
    replicaId: 'i-1',
    service: 'ledger',
    address: '10.0.0.1:80',
    zone: 'a',
    capacity: 2,
    state: RegisteredState.Ready,
    sequence: 1,
    warmupMs: 0,
  };
  return new ReplicaTarget(entry, CLIENT, entry.address, 0, new ColdSendLimiter(0));
}

describe('ReplicaTarget', () => {
  it('takes one attempt without an answer for a pause', () => {
    const target = create();
    target.recordUnfinished(3, 1_000);
    expect(target.slownessAt(1_000)).toBeLessThan(2);
  });

  it('takes a replica that goes on without answers for slow', () => {
    const target = create();
    for (const now of [1_000, 1_100, 1_500, 2_000]) target.recordUnfinished(3, now);
    expect(target.slownessAt(2_000)).toBeGreaterThanOrEqual(6);
  });

  it('forgets it after an answer, so that two pauses far apart are pauses', () => {
    const target = create();
    target.recordUnfinished(3, 1_000);
    target.recordLatency(1, 1_200);
    target.recordSuccess();
    target.recordUnfinished(3, 7_000);
    expect(target.slownessAt(7_000)).toBeLessThan(2);
  });

  it('finds a replica that recovered, since what was learned fades', () => {
    const target = create();
    for (const now of [0, 1_000]) target.recordUnfinished(4, now);
    expect(target.slownessAt(21_000)).toBeLessThan(1.3);
  });

  it('rests longer after each failure, up to a bound, and not after an answer', () => {
    const target = create();
    for (let index = 0; index < 20; index += 1) target.recordFailure(0);
    expect(target.isBackingOff(3_900)).toBe(true);
    expect(target.isBackingOff(4_100)).toBe(false);
    target.recordSuccess();
    expect(target.isBackingOff(0)).toBe(false);
  });
});
