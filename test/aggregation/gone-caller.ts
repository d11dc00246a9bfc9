/** Checks that a fan-out stops when its caller goes. */
import { expect } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import type { GatewayHarness } from '../gateway/gateway-harness.js';

/** How long replicas work on a request that is given up. Milliseconds. */
const WORK_MS = 1_000;

/** The caller of a request to many shards goes: after a while replicas are sent nothing more. */
export async function expectStopWhenCallerGoes(
  harness: GatewayHarness,
  replicas: readonly ExchangeReplica[],
): Promise<void> {
  for (const replica of replicas) replica.workMs = WORK_MS;
  const abort = new AbortController();
  const sent = harness.send({ path: '/q/1', id: 'gone', signal: abort.signal });
  await harness.simulation.runFor(20);
  abort.abort();
  await harness.simulation.settle(sent.catch(() => undefined));
  await harness.simulation.runFor(300);
  const arrivals = replicas.reduce((sum, replica) => sum + replica.arrivals, 0);
  await harness.simulation.runFor(2 * WORK_MS);
  expect(replicas.reduce((sum, replica) => sum + replica.arrivals, 0)).toBe(arrivals);
}
