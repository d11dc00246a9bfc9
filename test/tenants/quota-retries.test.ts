/** Tests that refused callers are served when they come back at the time they were told. */
import { describe, expect, it } from 'vitest';
import { allowedInWindow, busiestWindow, QuotaReplay, type Outcome } from './quota-replay.js';

const SECOND = 1_000;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

interface Burst {
  readonly gateways: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Requests in the one second of the burst. */
  readonly requests: number;
  /** New requests per second for ten seconds from the start of the burst on. */
  readonly others?: number;
  /** Time at which another owner takes over at once, in milliseconds. */
  readonly ownerChangesAt?: number;
  /** Whether retries reach another gateway than the one that refused. */
  readonly isRetriedElsewhere?: boolean;
}

const TENANT = 'one';

/** Replays a burst in which each refused caller returns when told; the outcomes of the returns. */
async function replayBurst(burst: Burst, seed: number): Promise<Outcome[]> {
  const { gateways, requestsPerSecond, requests, others = 0 } = burst;
  const { isRetriedElsewhere, ownerChangesAt } = burst;
  const replay = new QuotaReplay(gateways, seed);
  replay.connectAll(replay.startOwner());
  replay.setLimit(TENANT, requestsPerSecond, burst.burst);
  replay.addPoissonLoad(TENANT, requests, 10 * SECOND, 11 * SECOND);
  if (others > 0) replay.addPoissonLoad(TENANT, others, 10 * SECOND, 20 * SECOND);
  if (ownerChangesAt !== undefined)
    replay.schedule(ownerChangesAt, () => replay.connectAll(replay.startOwner()));
  replay.onRefused = (outcome) => {
    replay.retry(outcome, (outcome.gateway + (isRetriedElsewhere === true ? 1 : 0)) % gateways);
  };
  await replay.runUntil(300 * SECOND);
  const { most } = busiestWindow(replay.outcomes, TENANT);
  expect(most).toBeLessThanOrEqual(
    allowedInWindow({ name: TENANT, requestsPerSecond, burst: burst.burst }),
  );
  return replay.outcomes.filter(({ attempt }) => attempt > 1);
}

describe('refused callers that come back when told', () => {
  const usual = { gateways: 87, requestsPerSecond: 10, burst: 10, requests: 80 };
  const bursts: readonly (Burst & { readonly name: string })[] = [
    { name: 'a burst at 87 gateways', ...usual },
    { name: 'a burst at 8 gateways', ...usual, gateways: 8 },
    { name: 'a burst at 1,100 gateways', ...usual, gateways: 1_100 },
    { name: 'retries at other gateways', ...usual, isRetriedElsewhere: true },
    {
      name: 'a change of the owner beside new callers',
      ...usual,
      others: 5,
      ownerChangesAt: 12 * SECOND,
    },
    {
      name: 'a change of the owner, with retries at other gateways',
      ...usual,
      others: 5,
      isRetriedElsewhere: true,
      ownerChangesAt: 12 * SECOND,
    },
    { name: 'a change of owner in mid-burst', ...usual, ownerChangesAt: 10.5 * SECOND },
    { name: 'a small limit', ...usual, requestsPerSecond: 4, burst: 8, requests: 60 },
    { name: 'a burst that takes 25 s to serve', ...usual, requests: 250 },
    { name: 'a burst that takes three minutes to serve', ...usual, requests: 1_800 },
    { name: 'new callers at half of the limit', ...usual, others: 5 },
    { name: 'new callers at 0.9 of the limit', ...usual, others: 9 },
    {
      name: 'a large limit with uses before confirmation',
      ...usual,
      gateways: 8,
      requestsPerSecond: 100,
      burst: 50,
      requests: 800,
    },
  ];

  // Guards against reports that leave out a return which waits for the new owner's answer.
  it('are served when the owner changes while their return is on its way', async () => {
    // Seeds in which a return has been sent to the owner, and not answered, at that moment.
    for (const seed of [41, 240]) {
      const outcomes = await replayBurst({ ...usual, ownerChangesAt: 10.5 * SECOND }, seed);
      expect(outcomes.filter(({ isAdmitted }) => !isAdmitted)).toEqual([]);
    }
  });

  // Guards against a token that was told to one caller being taken by another.
  it.each(bursts)('are all served after $name', async (burst) => {
    let refusedAgain = 0;
    let returned = 0;
    for (const seed of SEEDS) {
      const outcomes = await replayBurst(burst, seed);
      returned += outcomes.length;
      refusedAgain += outcomes.filter(({ isAdmitted }) => !isAdmitted).length;
    }
    console.info(`${burst.name}: ${refusedAgain} of ${returned} returns refused again`);
    expect(returned).toBeGreaterThan(20 * SEEDS.length);
    expect(refusedAgain).toBe(0);
  });
});
