/**
 * The tenants of one version of the route document, found by API key. Keys are kept and
 * compared by their digests, so that no heap dump, log line or metric shows one.
 */
import { digestOf } from './key-digest.js';
import type { Tenant } from './tenant.js';

/** Longest API key. Characters. */
export const MAXIMUM_KEY_CHARACTERS = 255;

/** A tenant with its keys, as the route document lists it. */
export interface TenantEntry extends Tenant {
  readonly keys: readonly string[];
}

/** Tells lists of tenants apart without keeping them. */
function digestOfEntries(entries: readonly TenantEntry[]): string {
  return digestOf(JSON.stringify(entries));
}

/** See the module comment. Immutable. */
export class TenantDirectory {
  private readonly byDigest = new Map<string, Tenant>();
  private readonly byName = new Map<string, Tenant>();

  constructor(
    entries: readonly TenantEntry[],
    private readonly entriesDigest = digestOfEntries(entries),
  ) {
    for (const { keys, ...tenant } of entries) {
      this.byName.set(tenant.name, tenant);
      for (const key of keys) this.byDigest.set(digestOf(key), tenant);
    }
  }

  /** `before` itself where the tenants are the same: most documents change routes alone. */
  static createOrReuse(
    entries: readonly TenantEntry[],
    previous?: TenantDirectory,
  ): TenantDirectory {
    const entriesDigest = digestOfEntries(entries);
    if (previous?.entriesDigest === entriesDigest) return previous;
    return new TenantDirectory(entries, entriesDigest);
  }

  /** All of them, in the order of the document. */
  get tenants(): Iterable<Tenant> {
    return this.byName.values();
  }

  /** The tenant that holds the key. Takes the same time however many keys there are. */
  findByKey(key: string): Tenant | undefined {
    // Nobody holds it: spares the digest of what a caller sends to cost time.
    if (key.length > MAXIMUM_KEY_CHARACTERS) return undefined;
    return this.byDigest.get(digestOf(key));
  }

  /** The tenant of that name; undefined when the document has none. */
  findByName(name: string): Tenant | undefined {
    return this.byName.get(name);
  }
}
