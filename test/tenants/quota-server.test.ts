import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import type { ReplicatedLogStatus } from '../../src/consensus/replicated-log.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import {
  encodeRouteDocument,
  RouteDocumentRegister,
} from '../../src/routes/route-document-register.js';
import { QuotaServer } from '../../src/tenants/quota-server.js';
import { ManualClock } from '../support/manual-clock.js';
import { SETTINGS } from './quota-replay.js';

const DOCUMENTS = 200;

/** Counts how often the document in force is read. */
class CountingRegister extends RouteDocumentRegister {
  reads = 0;

  override current(): ReturnType<RouteDocumentRegister['current']> {
    const document = super.current();
    if (document === undefined) return undefined;
    const { version, content } = document;
    const readContent = (): Uint8Array => {
      this.reads += 1;
      return content;
    };
    return Object.defineProperty({ version, content }, 'content', { get: readContent });
  }
}

function applyDocuments(register: RouteDocumentRegister, first: number, limit: number): void {
  for (let version = first; version < first + DOCUMENTS; version += 1) {
    const tenants = [{ name: 'one', keys: ['key'], requestsPerSecond: limit, burst: 5 }];
    const document = { version, routes: [], services: [], tenants };
    const content = Buffer.from(JSON.stringify(document));
    register.apply(encodeRouteDocument({ version, content }));
  }
}

// Guards against a quota owner that nobody reaches for seconds after the loss of all controllers, because it
// reads each of the documents that it applies.
it('reads limits only of the document in force, and only when its controller is the owner', () => {
  const clock = new ManualClock();
  const register = new CountingRegister();
  let role: ReplicatedLogStatus['role'] = 'follower';
  const server = new QuotaServer({
    clock,
    settings: SETTINGS,
    electionTimeoutMs: 1_000,
    log: { status: () => ({ role, sinceQuorumMs: 0 }) as ReplicatedLogStatus },
    register,
    telemetry: { logger: SILENT_LOGGER, registry: new Registry() },
  });
  applyDocuments(register, 1, 10);
  expect(server.usage()).toBeUndefined();
  expect(register.reads).toBe(0);

  role = 'leader';
  expect(server.usage()?.map(({ tenant }) => tenant.requestsPerSecond)).toEqual([10]);
  applyDocuments(register, 1 + DOCUMENTS, 20);
  server.usage();
  expect(register.reads).toBe(1);
  clock.advance(1_000);
  expect(server.usage()?.map(({ tenant }) => tenant.requestsPerSecond)).toEqual([20]);
  expect(register.reads).toBe(2);
});
