import { describe, expect, it } from 'vitest';
import { AdaptiveAdmissionPolicy } from '../../src/policies/adaptive-admission-policy.js';
import type { AdmissionRefusal, AdmissionTicket } from '../../src/policies/admission-policy.js';
import { ManualClock } from '../support/manual-clock.js';

const NEVER = new AbortController().signal;
const LATENCY_MS = 100;

type Outcome = AdmissionTicket | AdmissionRefusal;

function isTicket(outcome: Outcome): outcome is AdmissionTicket {
  return 'release' in outcome;
}

/** After `fill`, a policy at its concurrency limit that has observed a latency of 100 ms. */
class SaturatedPolicy {
  readonly clock = new ManualClock();
  readonly policy: AdaptiveAdmissionPolicy;
  private readonly tickets: AdmissionTicket[] = [];

  constructor(
    readonly limit: number,
    queueLimit = 1_000,
  ) {
    const options = { maximumInFlight: limit, queueLimit };
    this.policy = new AdaptiveAdmissionPolicy(options, this.clock);
  }

  async fill(): Promise<void> {
    for (let request = 0; request < 100; request += 1) await this.serveOne();
    while (this.tickets.length < this.limit) this.tickets.push(await this.admitOne());
  }

  admit(team: string, remaining = 10_000): Promise<Outcome> {
    return this.policy.admit({ team, remaining, signal: NEVER });
  }

  releaseOne(): void {
    this.tickets.pop()?.release(LATENCY_MS);
  }

  private async admitOne(): Promise<AdmissionTicket> {
    const outcome = await this.admit('default');
    if (!isTicket(outcome)) throw new Error('refused');
    return outcome;
  }

  private async serveOne(): Promise<void> {
    (await this.admitOne()).release(LATENCY_MS);
  }
}

describe('AdaptiveAdmissionPolicy', () => {
  it('refuses a request at once, with a retry delay, when its expected wait is too long for its deadline', async () => {
    const saturated = new SaturatedPolicy(2);
    await saturated.fill();
    const longDeadline = saturated.admit('default', 2_000);
    const shortDeadline = await saturated.admit('default', 200);
    if (isTicket(shortDeadline)) throw new Error('admitted');
    expect(shortDeadline.retryAfter).toBeGreaterThan(0);
    saturated.releaseOne();
    expect(isTicket(await longDeadline)).toBe(true);
  });

  it('refuses a waiting request well before its deadline', async () => {
    const saturated = new SaturatedPolicy(2);
    await saturated.fill();
    const waiting = saturated.admit('default', 1_000);
    saturated.clock.advance(500);
    expect(isTicket(await waiting)).toBe(false);
  });

  it('admits waiting requests of different teams in turn', async () => {
    const saturated = new SaturatedPolicy(2);
    await saturated.fill();
    const order: string[] = [];
    const recordAdmission = (name: string) => (outcome: Outcome) => {
      if (isTicket(outcome)) order.push(name);
    };
    const admissions = [
      saturated.admit('flood').then(recordAdmission('flood 1')),
      saturated.admit('flood').then(recordAdmission('flood 2')),
      saturated.admit('other').then(recordAdmission('other 1')),
    ];
    saturated.releaseOne();
    saturated.releaseOne();
    await admissions[0];
    await admissions[2];
    expect(order).toEqual(['flood 1', 'other 1']);
  });

  it('refuses the newest request of the team with the most waiting when the queue is full', async () => {
    const saturated = new SaturatedPolicy(1, 2);
    await saturated.fill();
    void saturated.admit('flood');
    const last = saturated.admit('flood');
    const other = saturated.admit('other');
    expect(isTicket(await last)).toBe(false);
    saturated.releaseOne();
    saturated.clock.advance(1);
    expect(await Promise.race([other, Promise.resolve('waiting')])).toBe('waiting');
  });
});
