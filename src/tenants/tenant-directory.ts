/**
 * The tenants of one version of the route document, found by API key. Keys are kept and
 * compared by their digests, so that no heap dump, log line or metric shows one.
 */
import { createHash } from 'node:crypto';
import type { Tenant } from './tenant.js';

/** A tenant with its keys, as the route document lists it. */
export interface TenantEntry extends Tenant {
  readonly keys: readonly string[];
}

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

/** See the module comment. Immutable. */
export class TenantDirectory {
  private readonly byDigest = new Map<string, Tenant>();
  private readonly byName = new Map<string, Tenant>();

  constructor(entries: readonly TenantEntry[]) {
    for (const { keys, ...tenant } of entries) {
      this.byName.set(tenant.name, tenant);
      for (const key of keys) this.byDigest.set(digestOf(key), tenant);
    }
  }

  get tenants(): Iterable<Tenant> {
    return this.byName.values();
  }

  /** The tenant that holds the key. */
  holderOf(key: string): Tenant | undefined {
    return this.byDigest.get(digestOf(key));
  }

  named(name: string): Tenant | undefined {
    return this.byName.get(name);
  }
}
