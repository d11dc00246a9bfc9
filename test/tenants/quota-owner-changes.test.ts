import { describe, expect, it } from 'vitest';
import type { QuotaSettings } from '../../src/configuration/tenant-settings.js';
import { QuotaClient } from '../../src/tenants/quota-client.js';
import { QuotaOwner } from '../../src/tenants/quota-owner.js';
import type { Tenant } from '../../src/tenants/tenant.js';

const SETTINGS: QuotaSettings = { windowMs: 10_000, overrun: 0.1, slack: 0 };
const START = 40_000;
/** From the loss of an owner until the next one is found. Milliseconds. */
const OWNERLESS_MS = 30;
/** Requests that a busy gateway tries at first, and each millisecond: far beyond any limit here. */
const INITIAL_REQUESTS = 400;
const REQUESTS_PER_MS = 3;
/** Requests that each quiet gateway tries just before an owner is lost. */
const QUIET_REQUESTS = 60;

interface Fleet {
  readonly gateways: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Moments of the window at which another owner takes over. Milliseconds. */
  readonly changes: readonly number[];
}

/**
 * Requests that are passed on in one window in which one gateway drains the bucket, and the
 * others use what needs no owner just before each change, so that its debt is forgotten.
 */
async function countAdmitted({
  gateways,
  requestsPerSecond,
  burst,
  changes,
}: Fleet): Promise<number> {
  let now = START - SETTINGS.windowMs;
  const clock = { now: () => now };
  const tenant: Tenant = { name: 'one', requestsPerSecond, burst };
  const owner = new QuotaOwner({
    clock: clock as never,
    settings: SETTINGS,
    findTenant: () => tenant,
    onLimitReached: () => undefined,
  });
  const clients = Array.from({ length: gateways }, () => {
    const client = new QuotaClient({
      clock: clock as never,
      random: { nextFloat: () => 0.999 } as never,
      settings: SETTINGS,
      countGateways: () => gateways,
      onRequestQueued: () => undefined,
      onDecision: () => undefined,
    });
    client.handleConnected();
    return client;
  });
  let passed = 0;
  /** Whether it was decided at once. */
  const sendRequest = (client: QuotaClient): boolean => {
    const decision = client.take(tenant, now + 1);
    void Promise.resolve(decision).then(({ isAdmitted }) => (passed += isAdmitted ? 1 : 0));
    return !(decision instanceof Promise);
  };
  const exchange = async (client: QuotaClient): Promise<void> => {
    for (const response of client.takeRequests().map((request) => owner.handleRequest(request))) {
      client.handleResponse(response);
    }
    client.endRound();
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  };
  const [busy, ...quiet] = clients as [QuotaClient, ...QuotaClient[]];
  let from = 0;
  for (const end of [...changes, SETTINGS.windowMs]) {
    for (let at = from; at < end; at += 1) {
      now = START + at;
      for (let tries = 0; tries < (at === 0 ? INITIAL_REQUESTS : REQUESTS_PER_MS); tries += 1)
        sendRequest(busy);
      await exchange(busy);
    }
    now = START + end - 0.5;
    for (const client of quiet) {
      for (let tries = 0; tries < QUIET_REQUESTS && sendRequest(client); tries += 1);
    }
    for (const client of quiet) await exchange(client);
    for (const client of clients) client.handleDisconnected();
    now = START + end + OWNERLESS_MS;
    owner.startOwnership();
    for (const client of clients) client.handleConnected();
    // The new owner takes off the pressure that the one before told them.
    for (const client of quiet) sendRequest(client);
    for (const client of quiet) await exchange(client);
    from = end + OWNERLESS_MS;
  }
  return passed;
}

describe('changes of the owner of limits', () => {
  const fleets: readonly Fleet[] = [
    { gateways: 9, requestsPerSecond: 1_000, burst: 50, changes: [] },
    { gateways: 9, requestsPerSecond: 1_000, burst: 50, changes: [5_000] },
    { gateways: 9, requestsPerSecond: 1_000, burst: 50, changes: [3_333, 6_666] },
    { gateways: 8, requestsPerSecond: 100, burst: 50, changes: [3_333, 6_666] },
  ];
  for (const fleet of fleets) {
    const { gateways, requestsPerSecond, burst, changes } = fleet;
    it(`keep ${gateways} gateways within ${requestsPerSecond} a second with ${changes.length} of them`, async () => {
      const limit = (requestsPerSecond * SETTINGS.windowMs) / 1_000 + burst;
      const allowed = limit * (1 + SETTINGS.overrun) + SETTINGS.slack;
      expect(await countAdmitted(fleet)).toBeLessThanOrEqual(allowed);
    });
  }
});
