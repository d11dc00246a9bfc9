import { describe, expect, it } from 'vitest';
import type { GatewayMechanisms } from '../../src/configuration/gateway-mechanisms.js';
import { ReplacementSignal } from '../../src/gateway/replacement-signal.js';
import { GatewayHarness, type TestRoute } from './gateway-harness.js';

const ROUTE: TestRoute = {
  pathPrefix: '/ledger/',
  service: 'ledger',
  targetLatencyMs: 1_000,
  timeoutMs: 8_000,
};
const DEADLINE_MS = 8_000;
/** A gateway that has just started may use one of these extra attempts. */
const SECOND_SENDS = { ratio: 0.2, slack: 500 };
/** Within this time the new replica has registered and the gateway knows it. Milliseconds. */
const REPLACEMENT_KNOWN_MS = 3_000;

/**
 * Sends a request to a replica that loses power while running it; another replica takes over its
 * address.
 */
async function sendToReplacedReplica(
  route: Partial<TestRoute>,
  mechanisms: Partial<GatewayMechanisms> = {},
): Promise<{ status: number; tookMs: number; runs: number }> {
  const harness = await GatewayHarness.start(7, {
    mechanisms: { hedging: false, ...mechanisms },
    secondSends: SECOND_SENDS,
  });
  const first = await harness.addReplica('ledger');
  await harness.putRoutes([{ ...ROUTE, ...route }]);
  first.workMs = DEADLINE_MS;
  const { clock } = harness.machine.environment;
  const sentAt = clock.now();
  const answer = harness.send({ path: '/ledger/1', deadlineMs: DEADLINE_MS });
  await harness.simulation.runFor(100);
  harness.machineOf(first).crash({ power: true });
  await harness.simulation.runFor(500);
  const later = harness.restartReplica(first);
  later.workMs = 10;
  const { status } = await harness.simulation.settle(answer);
  const runs = first.runs.length + later.runs.length;
  return { status, tookMs: clock.now() - sentAt, runs };
}

describe('a request running at a replica that loses power', () => {
  it('fails when another replica takes over the address, if it is not repeatable', async () => {
    const { status, tookMs, runs } = await sendToReplacedReplica({ execution: 'atMostOnce' });
    expect(status).toBe(502);
    expect(tookMs).toBeLessThan(REPLACEMENT_KNOWN_MS);
    expect(runs).toBe(1);
  });

  it('is sent to the other replica if it is repeatable', async () => {
    const { status, tookMs, runs } = await sendToReplacedReplica({ execution: 'repeatable' });
    expect(status).toBe(200);
    expect(tookMs).toBeLessThan(REPLACEMENT_KNOWN_MS);
    expect(runs).toBe(2);
  });

  it('waits until its deadline if the mechanism is off', async () => {
    const result = await sendToReplacedReplica(
      { execution: 'atMostOnce' },
      { endedReplicas: false },
    );
    expect(result.status).toBe(504);
    expect(result.tookMs).toBeGreaterThan(DEADLINE_MS - 100);
  });
});

describe('a replacement signal', () => {
  it('calls each callback once, and no cancelled callback', () => {
    const signal = new ReplacementSignal();
    const called: string[] = [];
    const cancelled = (): void => void called.push('cancelled');
    signal.once(() => called.push('waiting'));
    signal.once(cancelled);
    signal.cancel(cancelled);
    signal.emit();
    signal.emit();
    expect(called).toEqual(['waiting']);
  });
});
