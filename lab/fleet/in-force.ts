/** Asks a fleet's controllers on behalf of the fleet runner itself. */
import type { ChangeReport } from '../../src/administration/response-schemas.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { Fleet } from './fleet.js';

/** Milliseconds. */
const ATTEMPT_TIMEOUT = 3_000;
const TOTAL_TIMEOUT = 30_000;
const IN_FORCE_PATIENCE = 15_000;
const POLL_INTERVAL = 100;

/** A client with every right; asks all controllers unless some are named. */
export function fleetClient(
  { network, clock }: Environment,
  { operator }: Fleet,
  controllers: readonly Address[] = operator.controllers,
): OperatorClient {
  return new OperatorClient(network, clock, {
    controllers,
    token: operator.token,
    attemptTimeoutMs: ATTEMPT_TIMEOUT,
    totalTimeoutMs: TOTAL_TIMEOUT,
  });
}

/** Waits until every router has a change in force, or patience ends; returns how many have. */
export async function waitUntilInForce(
  environment: Environment,
  fleet: Fleet,
  changeId: string,
  signal: AbortSignal,
): Promise<number> {
  const { clock } = environment;
  const client = fleetClient(environment, fleet);
  const giveUpAt = clock.now() + IN_FORCE_PATIENCE;
  try {
    for (;;) {
      const { force } = await client.get<ChangeReport>(`/v1/changes/${changeId}`);
      const inForce = force?.inForce ?? 0;
      if (inForce >= fleet.routers.length || clock.now() >= giveUpAt) return inForce;
      await clock.sleep(POLL_INTERVAL, signal);
    }
  } finally {
    client.close();
  }
}
