/** Tests requests whose deadline passes while their token request is pending. */
import { expect, it, vi } from 'vitest';
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

/** A client with an owner that admits nothing without a token, because it doesn't know the fleet size. */
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

it('refuses a request whose deadline passes before the response to its token request', async () => {
  const client = createClient();
  const decision = client.take(TENANT, WAITS_MS) as Promise<QuotaDecision>;
  expect(client.takeRequests()).toMatchObject([{ tenant: 'acme', waiting: 1 }]);
  client.expireWaiting(EXPIRY_INTERVAL_MS);
  const times = { pressureMs: 0, nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };
  client.handleResponse({ kind: 'answer', tenant: 'acme', granted: 1, ...times });
  expect(await decision).toMatchObject({ isAdmitted: false });
});

it('keeps a token that arrives too late for its request and uses it for the next request', async () => {
  const client = createClient();
  const decision = client.take(TENANT, WAITS_MS);
  client.takeRequests();
  client.expireWaiting(EXPIRY_INTERVAL_MS);
  const times = { pressureMs: 0, nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };
  client.handleResponse({ kind: 'answer', tenant: 'acme', granted: 1, ...times });
  await decision;
  expect(client.take(TENANT)).toEqual({ isAdmitted: true });
});

// Guards against requests that are admitted although the owner has granted no token for them.
it.each([
  { name: 'decides on too few requests', granted: 2, retries: [0] },
  { name: 'admits more requests than it grants tokens', granted: 1, retries: [0, 0] },
])('admits nothing by a response that $name', ({ granted, retries }) => {
  const client = createClient();
  const isDecided = vi.fn();
  for (let request = 0; request < 2; request += 1)
    void Promise.resolve(client.take(TENANT)).then(isDecided);
  client.takeRequests();
  const times = { pressureMs: 0, nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };
  const response = { kind: 'answer', tenant: 'acme', granted, retries, ...times } as const;
  expect(() => client.handleResponse(response)).toThrow(RangeError);
  client.endRound();
  expect(client.takeRequests()).toMatchObject([{ tenant: 'acme', waiting: 2 }]);
  expect(isDecided).not.toHaveBeenCalled();
});
