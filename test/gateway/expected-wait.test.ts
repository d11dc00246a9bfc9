import { describe, expect, it } from 'vitest';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import { ColdSendLimiter } from '../../src/gateway/cold-send-limiter.js';
import { shortestBusyWait, expectedWait, refusalReason } from '../../src/gateway/expected-wait.js';
import { ReplicaTarget } from '../../src/gateway/replica-target.js';
import type { HttpClient } from '../../src/seams/http.js';

const NOW = 10_000;
const WORK_MS = 100;
const CLIENT: HttpClient = {
  request: () => expect.fail('nothing is sent'),
  close: () => Promise.resolve(),
  destroy: () => undefined,
};

function replica(running?: number, waiting = 0, at = NOW): ReplicaTarget {
  const entry = {
    replicaId: 'replica',
    service: 'ledger',
    address: '10.0.0.1:80',
    zone: 'a',
    capacity: 2,
    state: RegisteredState.Ready,
    sequence: 1,
    warmupMs: 0,
  };
  const target = new ReplicaTarget(entry, CLIENT, entry.address, -Infinity, new ColdSendLimiter(0));
  if (running !== undefined) target.load = { running, waiting, slots: 2, workFactor: 1, at };
  return target;
}

function query(
  targets: readonly ReplicaTarget[],
  deadline = NOW + 300,
): Parameters<typeof refusalReason>[0] {
  return { targets, medianLatency: WORK_MS, sendDeadline: NOW + 50, deadline, now: NOW };
}

describe('the expected wait at a replica', () => {
  it('is that of the work ahead over its slots', () => {
    expect(expectedWait(replica(), WORK_MS, NOW)).toBe(0);
    expect(expectedWait(replica(1), WORK_MS, NOW)).toBe(0);
    expect(expectedWait(replica(2), WORK_MS, NOW)).toBe(50);
    expect(expectedWait(replica(2, 8), WORK_MS, NOW)).toBe(450);
  });

  it('shrinks as its word gets old, and an old word is not believed', () => {
    expect(expectedWait(replica(2, 8, NOW - 200), WORK_MS, NOW)).toBe(250);
    expect(expectedWait(replica(2, 8, NOW - 600), WORK_MS, NOW)).toBe(0);
    expect(expectedWait(replica(2, 8_000, NOW - 1_001), WORK_MS, NOW)).toBe(0);
  });

  it('counts what this gateway has in flight there whatever the replica says', () => {
    const idle = replica(0);
    for (let index = 0; index < 4; index += 1) idle.begin(NOW);
    expect(expectedWait(idle, WORK_MS, NOW)).toBe(150);
  });

  it('is longer at one that was slow lately', () => {
    const slow = replica(2, 2);
    slow.recordLatency(8, NOW);
    expect(expectedWait(slow, WORK_MS, NOW)).toBeGreaterThan(300);
  });
});

describe('a request to replicas with queues', () => {
  it('is refused when none can answer it before its deadline', () => {
    expect(refusalReason(query([replica(2, 8), replica(2, 6)]))).toMatch(/deadline/);
  });

  it('is offered while one can, or nothing is known of one', () => {
    expect(refusalReason(query([replica(2, 8), replica(2, 1)]))).toBeUndefined();
    expect(refusalReason(query([replica(2, 8), replica()]))).toBeUndefined();
    expect(refusalReason(query([]))).toBeUndefined();
  });

  it('is offered to one without a queue however short its time is', () => {
    expect(refusalReason(query([replica(0)], NOW + 10))).toBeUndefined();
  });

  it('is refused while all are known full for longer than it may wait', () => {
    const full = replica();
    full.fullUntil = NOW + 60;
    expect(refusalReason(query([full]))).toMatch(/full/);
    full.fullUntil = NOW + 40;
    expect(refusalReason(query([full]))).toBeUndefined();
  });

  it('finds room first at the busy replica whose queue is the shortest', () => {
    expect(shortestBusyWait(query([replica(2, 8), replica(2, 1), replica()]))).toBe(100);
    expect(shortestBusyWait(query([replica(), replica(1)]))).toBeUndefined();
  });

  it('knows nothing of when a replica that cannot be reached has room', () => {
    const unreachable = replica(2, 1);
    unreachable.recordFailure(NOW);
    expect(shortestBusyWait(query([unreachable]))).toBeUndefined();
    expect(shortestBusyWait(query([unreachable, replica(2, 8)]))).toBe(450);
  });
});
