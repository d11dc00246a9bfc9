import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness } from './gateway-harness.js';

const ROUTE = { pathPrefix: '/ledger/', service: 'ledger', targetLatencyMs: 1_000 };
/** So slow that the other replica is always preferred. Milliseconds. */
const SLOW_MS = 400;

async function harnessWith(
  count: number,
  secondSends?: { ratio: number; slack: number },
): Promise<[GatewayHarness, ExchangeReplica[]]> {
  const harness = await GatewayHarness.start(7, secondSends === undefined ? {} : { secondSends });
  const replicas: ExchangeReplica[] = [];
  for (let index = 0; index < count; index += 1) replicas.push(await harness.addReplica('ledger'));
  return [harness, replicas];
}

describe('a request that its replicas do not run', () => {
  it('is retried at the same replicas after a delay, and answered', async () => {
    const [harness, replicas] = await harnessWith(2);
    await harness.putRoutes([ROUTE]);
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
    const answer = harness.send({ path: '/ledger/1' });
    await harness.simulation.runFor(10);
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Serve;
    expect((await harness.simulation.settle(answer)).status).toBe(200);
  });

  it('is refused as not run while the caller still has time to retry', async () => {
    const [harness, replicas] = await harnessWith(2);
    await harness.putRoutes([ROUTE]);
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
    const { clock } = harness.machine.environment;
    const sentAt = clock.now();
    const answer = await harness.call({ path: '/ledger/1' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(clock.now() - sentAt).toBeLessThan(ROUTE.targetLatencyMs / 4);
  });

  it('needs no budget for a retry if it reached no replica', async () => {
    const [harness, [first, second]] = await harnessWith(2, { ratio: 0, slack: 0 });
    await harness.putRoutes([ROUTE]);
    await first?.stop();
    if (second !== undefined) second.workMs = SLOW_MS;
    for (let index = 0; index < 8; index += 1) {
      const answer = await harness.call({ path: '/ledger/1', id: `call-${index}` });
      expect(answer.status).toBe(200);
      // The stopped replica is tried again once its backoff has ended.
      await harness.simulation.runFor(4_500);
    }
    expect(second?.runs).toHaveLength(8);
  });

  it('is not sent again to a replica at whose address another one answered', async () => {
    const [harness, [first, second]] = await harnessWith(2);
    await harness.putRoutes([ROUTE]);
    if (first !== undefined) first.behaviour = ReplicaBehaviour.WrongReplica;
    if (second !== undefined) second.workMs = SLOW_MS;
    for (let index = 0; index < 30; index += 1) {
      await harness.call({ path: '/ledger/1' });
      await harness.simulation.runFor(1_000);
    }
    expect(first?.arrivals).toBe(1);
    expect(second?.runs).toHaveLength(30);
  });
});
