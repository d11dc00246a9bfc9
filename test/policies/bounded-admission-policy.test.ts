import { describe, expect, it } from 'vitest';
import type { AdmissionRefusal, AdmissionTicket } from '../../src/policies/admission-policy.js';
import { BoundedAdmissionPolicy } from '../../src/policies/bounded-admission-policy.js';
import { ManualClock } from '../support/manual-clock.js';

const NEVER = new AbortController().signal;

function isTicket(outcome: AdmissionTicket | AdmissionRefusal): outcome is AdmissionTicket {
  return 'release' in outcome;
}

function request(remaining: number, signal: AbortSignal = NEVER) {
  return { team: 'default', remaining, signal };
}

describe('BoundedAdmissionPolicy', () => {
  it('queues requests above the concurrency limit and refuses them at once when the queue is full', async () => {
    const policy = new BoundedAdmissionPolicy(
      { maximumInFlight: 1, queueLimit: 1 },
      new ManualClock(),
    );
    const first = await policy.admit(request(100));
    const second = policy.admit(request(100));
    const third = await policy.admit(request(100));
    expect(isTicket(third)).toBe(false);
    if (!isTicket(first)) throw new Error('the first request was refused');
    first.release(1);
    expect(isTicket(await second)).toBe(true);
  });

  it('does not admit a waiting request whose deadline passed or whose caller disconnected', async () => {
    const clock = new ManualClock();
    const policy = new BoundedAdmissionPolicy({ maximumInFlight: 1, queueLimit: 10 }, clock);
    const first = await policy.admit(request(1_000));
    const caller = new AbortController();
    const expiring = policy.admit(request(50));
    const disconnecting = policy.admit(request(1_000, caller.signal));
    const waiting = policy.admit(request(1_000));
    clock.advance(50);
    caller.abort();
    expect(isTicket(await expiring)).toBe(false);
    expect(isTicket(await disconnecting)).toBe(false);
    if (!isTicket(first)) throw new Error('the first request was refused');
    first.release(1);
    expect(isTicket(await waiting)).toBe(true);
  });
});
