/** Shared check that a fan-out stops when its caller disconnects. */
import { expect } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import type { GatewayHarness } from '../gateway/gateway-harness.js';

/** Time that replicas take for a request whose caller disconnects. Milliseconds. */
const WORK_MS = 1_000;

/**
 * Sends a request to many shards, disconnects its caller, and expects that no further request
 * arrives at a replica once the cancellation has had time to spread.
 */
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
