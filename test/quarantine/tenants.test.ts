import { describe, expect, it } from 'vitest';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { CrashingFleet } from './crashing-fleet.js';

const { apiKey: KEY, tenant: TENANT } = DEFAULT_EXCHANGE_HEADERS;
const QUARANTINED_STATUS = 429;
/** Longer than a replica takes to restart. Milliseconds. */
const PAUSE_MS = 6_000;

async function start(): Promise<CrashingFleet> {
  return CrashingFleet.start('/one/crash', {
    services: ['one'],
    replicasPerService: 3,
    route: { pathPrefix: '/one/', service: 'one' },
    tenants: [
      { name: 'orchard', keys: ['secret-1', 'secret-2'] },
      { name: 'mill', keys: ['secret-3'] },
    ],
  });
}

async function sendAs(fleet: CrashingFleet, key: string): Promise<number> {
  const { status } = await fleet.call({ path: '/one/crash', headers: { [KEY]: key } });
  await fleet.harness.simulation.runFor(PAUSE_MS);
  return status;
}

describe('a request of a tenant that crashes replicas', () => {
  it('is tried and then refused with each API key of the tenant, and no key reaches a replica', async () => {
    const fleet = await start();
    let status = 0;
    for (let call = 0; call < 8 && status !== QUARANTINED_STATUS; call += 1) {
      status = await sendAs(fleet, call % 2 === 0 ? 'secret-1' : 'secret-2');
    }
    expect(await sendAs(fleet, 'secret-1')).toBe(QUARANTINED_STATUS);
    expect(await sendAs(fleet, 'secret-2')).toBe(QUARANTINED_STATUS);
    const metrics = await fleet.harness.registry.metrics();
    expect(metrics).toMatch(/driftway_gateway_quarantine_trials_total\{result="\w+"\} [1-9]/);
    const seen = [...fleet.replicas.keys()].flatMap(({ runs }) => runs.map((run) => run.headers));
    expect(seen.map((headers) => headers[TENANT])).toEqual(seen.map(() => 'orchard'));
    expect(JSON.stringify(seen)).not.toContain('secret');
  });

  it('does not cause the same request of another tenant to be refused', async () => {
    const fleet = await start();
    for (let call = 0; call < 8; call += 1) await sendAs(fleet, 'secret-1');
    expect(await sendAs(fleet, 'secret-1')).toBe(QUARANTINED_STATUS);
    expect(await sendAs(fleet, 'secret-3')).not.toBe(QUARANTINED_STATUS);
  });
});
