import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { SplitChooser } from '../../src/gateway/split-chooser.js';
import type { Route, SplitPart } from '../../src/routes/route-document.js';

const ROUTE: Route = {
  name: 'route',
  host: 'desk.example',
  pathPrefix: '/a/',
  execution: 'repeatable',
  timeoutMs: 1_000,
  priority: 0,
  public: false,
  maximumAttempts: 1,
};

function splitOf(...weights: number[]): SplitPart[] {
  return weights.map((weight, index) => ({ service: `service-${index}`, weight }));
}

function createFleet(gateways: number, seed: number): SplitChooser[] {
  return Array.from(
    { length: gateways },
    (_, index) => new SplitChooser(seededRandom(seed, `gateway-${index}`)),
  );
}

/** Share of the first service among `requests` that reach gateways by chance. */
function fractionOfFirst(
  fleet: readonly SplitChooser[],
  split: readonly SplitPart[],
  requests: number,
  seed: number,
): number {
  const arrivals = seededRandom(seed, 'arrivals');
  let first = 0;
  for (let index = 0; index < requests; index += 1) {
    // Each version of the routes is read anew, so its splits are other objects.
    const version = split.map((part) => ({ ...part }));
    const gateway = fleet[arrivals.nextInteger(0, fleet.length - 1)];
    if (gateway?.choose({ ...ROUTE }, version) === 'service-0') first += 1;
  }
  return first / requests;
}

describe('SplitChooser', () => {
  it('keeps to the weights over few requests at one gateway', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.nat(), (weight, seed) => {
        const [gateway] = createFleet(1, seed);
        const share = fractionOfFirst(
          [gateway as SplitChooser],
          splitOf(weight, 10 - weight),
          40,
          1,
        );
        expect(Math.abs(share - weight / 10)).toBeLessThan(0.03);
      }),
    );
  });

  it('keeps to the weights over 300 requests of a whole fleet', () => {
    const sizes = fc.constantFrom(1, 8, 30, 73, 200, 1_100);
    const weights = fc.constantFrom([50, 50], [90, 10], [1, 2], [99, 1], [10, 90]);
    fc.assert(
      fc.property(sizes, weights, fc.nat({ max: 100 }), (gateways, pair, seed) => {
        const [first = 0, second = 0] = pair;
        const fleet = createFleet(gateways, seed);
        const share = fractionOfFirst(fleet, splitOf(first, second), 300, seed);
        expect(Math.abs(share - first / (first + second))).toBeLessThan(0.1);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it('never chooses a service without weight', () => {
    const [gateway] = createFleet(1, 3);
    for (let index = 0; index < 200; index += 1) {
      expect(gateway?.choose(ROUTE, splitOf(0, 1, 0))).toBe('service-1');
    }
  });

  it('goes on where it was when a new version leaves the split alone', () => {
    const split = splitOf(2, 3);
    const [same, versions] = [...createFleet(1, 3), ...createFleet(1, 3)];
    for (let index = 0; index < 100; index += 1) {
      const version = split.map((part) => ({ ...part }));
      expect(versions?.choose({ ...ROUTE }, version)).toBe(same?.choose(ROUTE, split));
    }
  });
});
