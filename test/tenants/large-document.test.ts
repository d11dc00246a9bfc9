import { describe, expect, it } from 'vitest';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { MAXIMUM_ROUTE_DOCUMENT_BYTES } from '../../src/routes/route-document.js';
import { GatewayHarness } from '../gateway/gateway-harness.js';

const { apiKey: KEY, tenant: TENANT } = DEFAULT_EXCHANGE_HEADERS;
const TENANTS = 10_000;
const KEYS_OF_EACH = 3;
const KEY_CHARACTERS = 60;

function keyOf(tenant: number, index: number): string {
  return `${tenant}-${index}-`.padEnd(KEY_CHARACTERS, 'k');
}

const DOCUMENT = Array.from({ length: TENANTS }, (_, tenant) => ({
  name: `tenant-${tenant}`,
  keys: Array.from({ length: KEYS_OF_EACH }, (__, index) => keyOf(tenant, index)),
  priority: 1,
}));

describe('a route document of 10,000 tenants with 30,000 long keys', () => {
  it('is accepted, reaches gateways and maps each key to its tenant', async () => {
    const bytes = JSON.stringify(DOCUMENT).length;
    expect(bytes).toBeGreaterThan(2_000_000);
    expect(bytes).toBeLessThan(MAXIMUM_ROUTE_DOCUMENT_BYTES);
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('one');
    await harness.putRoutes([{ pathPrefix: '/one/', service: 'one' }], DOCUMENT);
    for (const tenant of [0, 4_711, TENANTS - 1]) {
      const headers = { [KEY]: keyOf(tenant, KEYS_OF_EACH - 1) };
      expect((await harness.call({ path: '/one/1', headers })).status).toBe(200);
      expect(replica.runs.at(-1)?.headers[TENANT]).toBe(`tenant-${tenant}`);
    }
  });
});
