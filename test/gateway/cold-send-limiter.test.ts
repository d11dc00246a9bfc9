import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { ColdSendLimiter, coldSendInterval } from '../../src/gateway/cold-send-limiter.js';

const DURATION_MS = 20_000;
const STEP_MS = 5;
/** What a cold replica may get beyond its rate, as the platform bounds it. */
const OVERRUN = 1.5;
const SLACK = 5;

/** Most sendings in any second of a fleet in which every gateway always wants to send. */
function worstSecond(gateways: number, perSecond: number, seed: number, idleMs: number): number {
  const random = seededRandom(seed, 'slots');
  const interval = coldSendInterval(perSecond, gateways);
  const fleet = Array.from({ length: gateways }, () => new ColdSendLimiter(random.nextFloat()));
  const sends: number[] = [];
  let worst = 0;
  for (let now = idleMs; now < DURATION_MS; now += STEP_MS) {
    for (const limiter of fleet) {
      if (!limiter.allows(now, interval)) continue;
      limiter.recordSend(now, interval);
      sends.push(now);
    }
    while ((sends[0] ?? now) <= now - 1_000) sends.shift();
    worst = Math.max(worst, sends.length);
  }
  return worst;
}

describe('ColdSendSlots', () => {
  it('keep a whole fleet within what a cold replica bears in any second', () => {
    const sizes = fc.constantFrom(1, 6, 30, 73, 200);
    const rates = fc.constantFrom(10, 20, 50, 100);
    fc.assert(
      fc.property(sizes, rates, fc.nat({ max: 1_000 }), fc.nat({ max: 9_000 }), (...drawn) => {
        const [gateways, perSecond, seed, idleMs] = drawn;
        const worst = worstSecond(gateways, perSecond, seed, idleMs);
        expect(worst).toBeLessThanOrEqual(perSecond * OVERRUN + SLACK);
      }),
      { seed: 11, numRuns: 60 },
    );
  });

  it('let a gateway alone send at more than half of the rate', () => {
    const slotLength = coldSendInterval(10, 1);
    const slots = new ColdSendLimiter(0);
    let sends = 0;
    for (let now = 0; now < 10_000; now += STEP_MS) {
      if (!slots.allows(now, slotLength)) continue;
      slots.recordSend(now, slotLength);
      sends += 1;
    }
    expect(sends).toBeGreaterThanOrEqual(50);
  });
});
