/** Requests at a gateway whose time ends while the owner is asked. */
import { expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { QuotaClient } from '../../src/tenants/quota-client.js';
import type { QuotaDecision } from '../../src/tenants/tenant-quota.js';
import { SETTINGS } from './quota-replay.js';

const TENANT = { name: 'acme', requestsPerSecond: 10, burst: 5 };
const WAITS_MS = 50;
const EXPIRY_INTERVAL_MS = 100;

function unused(): never {
  throw new Error('not used');
}

/** A client with an owner, which passes nothing on without a token. */
function createClient(): QuotaClient {
  const client = new QuotaClient({
    clock: { now: () => 0, wallTime: unused, setTimer: unused, sleep: unused },
    random: seededRandom(1, 'quota-client'),
    settings: SETTINGS,
    countGateways: () => undefined,
    onRequestQueued: () => undefined,
    onDecision: () => undefined,
  });
  client.handleConnected();
  return client;
}

it('refuses a request whose time ends before the answer to its question', async () => {
  const client = createClient();
  const decision = client.take(TENANT, WAITS_MS) as Promise<QuotaDecision>;
  expect(client.takeRequests()).toMatchObject([{ tenant: 'acme', waiting: 1 }]);
  client.expireWaiting(EXPIRY_INTERVAL_MS);
  const times = { pressureMs: 0, nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };
  client.handleResponse({ kind: 'answer', tenant: 'acme', granted: 1, ...times });
  expect(await decision).toMatchObject({ isAdmitted: false });
});

it('keeps a token that came too late for its request for the next one', async () => {
  const client = createClient();
  const decision = client.take(TENANT, WAITS_MS);
  client.takeRequests();
  client.expireWaiting(EXPIRY_INTERVAL_MS);
  const times = { pressureMs: 0, nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };
  client.handleResponse({ kind: 'answer', tenant: 'acme', granted: 1, ...times });
  await decision;
  expect(client.take(TENANT)).toEqual({ isAdmitted: true });
});
