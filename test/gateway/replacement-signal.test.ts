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
/** Of which a gateway that has just started may spend one. */
const SECOND_SENDS = { ratio: 0.2, slack: 500 };
/** In which the replica at the address has registered and the gateway knows it. Milliseconds. */
const REPLACEMENT_KNOWN_MS = 3_000;

/** A request at work at a replica whose machine goes dark, and whose address another one gets. */
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

describe('a request at work at a replica that goes dark', () => {
  it('ends when another replica has its address, where it may not be sent again', async () => {
    const { status, tookMs, runs } = await sendToReplacedReplica({ execution: 'atMostOnce' });
    expect(status).toBe(502);
    expect(tookMs).toBeLessThan(REPLACEMENT_KNOWN_MS);
    expect(runs).toBe(1);
  });

  it('is sent to the other replica where it may be', async () => {
    const { status, tookMs, runs } = await sendToReplacedReplica({ execution: 'repeatable' });
    expect(status).toBe(200);
    expect(tookMs).toBeLessThan(REPLACEMENT_KNOWN_MS);
    expect(runs).toBe(2);
  });

  it('waits for its deadline without the mechanism', async () => {
    const played = await sendToReplacedReplica(
      { execution: 'atMostOnce' },
      { endedReplicas: false },
    );
    expect(played.status).toBe(504);
    expect(played.tookMs).toBeGreaterThan(DEADLINE_MS - 100);
  });
});

describe('the end of a replica', () => {
  it('is told once, and not to those that ceased to wait', () => {
    const ending = new ReplacementSignal();
    const told: string[] = [];
    const cancelled = (): void => void told.push('cancelled');
    ending.once(() => told.push('waiting'));
    ending.once(cancelled);
    ending.cancel(cancelled);
    ending.emit();
    ending.emit();
    expect(told).toEqual(['waiting']);
  });
});
