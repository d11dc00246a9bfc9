import { describe, expect, it } from 'vitest';
import { AdaptiveAdmissionPolicy } from '../../src/policies/adaptive-admission-policy.js';
import type { AdmissionRefusal, AdmissionTicket } from '../../src/policies/admission-policy.js';
import { ManualClock } from '../support/manual-clock.js';

const NEVER = new AbortController().signal;
const SERVED = 100;

type Outcome = AdmissionTicket | AdmissionRefusal;

function isTicket(outcome: Outcome): outcome is AdmissionTicket {
  return 'release' in outcome;
}

/** A policy with all its places taken, which knows that requests take 100 ms. */
class FullDoor {
  readonly clock = new ManualClock();
  readonly policy: AdaptiveAdmissionPolicy;
  private readonly tickets: AdmissionTicket[] = [];

  constructor(
    readonly places: number,
    queueLimit = 1_000,
  ) {
    const options = { maximumInFlight: places, queueLimit };
    this.policy = new AdaptiveAdmissionPolicy(options, this.clock);
  }

  async fill(): Promise<void> {
    for (let request = 0; request < 100; request += 1) await this.serveOne();
    while (this.tickets.length < this.places) this.tickets.push(await this.enter());
  }

  ask(team: string, remaining = 10_000): Promise<Outcome> {
    return this.policy.admit({ team, remaining, signal: NEVER });
  }

  leave(): void {
    this.tickets.pop()?.release(SERVED);
  }

  private async enter(): Promise<AdmissionTicket> {
    const outcome = await this.ask('default');
    if (!isTicket(outcome)) throw new Error('refused');
    return outcome;
  }

  private async serveOne(): Promise<void> {
    (await this.enter()).release(SERVED);
  }
}

describe('AdaptiveAdmissionPolicy', () => {
  it('refuses at once what would wait too long for its deadline, and says when to come back', async () => {
    const door = new FullDoor(2);
    await door.fill();
    const patient = door.ask('default', 2_000);
    const hurried = await door.ask('default', 200);
    if (isTicket(hurried)) throw new Error('admitted');
    expect(hurried.retryAfter).toBeGreaterThan(0);
    door.leave();
    expect(isTicket(await patient)).toBe(true);
  });

  it('ends the wait of a request well before its deadline', async () => {
    const door = new FullDoor(2);
    await door.fill();
    const waiting = door.ask('default', 1_000);
    door.clock.advance(500);
    expect(isTicket(await waiting)).toBe(false);
  });

  it('serves teams in turn', async () => {
    const door = new FullDoor(2);
    await door.fill();
    const order: string[] = [];
    const note = (name: string) => (outcome: Outcome) => {
      if (isTicket(outcome)) order.push(name);
    };
    const asked = [
      door.ask('flood').then(note('flood 1')),
      door.ask('flood').then(note('flood 2')),
      door.ask('other').then(note('other 1')),
    ];
    door.leave();
    door.leave();
    await asked[0];
    await asked[2];
    expect(order).toEqual(['flood 1', 'other 1']);
  });

  it('makes room in a full queue at the cost of the team with most in it', async () => {
    const door = new FullDoor(1, 2);
    await door.fill();
    void door.ask('flood');
    const last = door.ask('flood');
    const other = door.ask('other');
    expect(isTicket(await last)).toBe(false);
    door.leave();
    door.clock.advance(1);
    expect(await Promise.race([other, Promise.resolve('waiting')])).toBe('waiting');
  });
});
