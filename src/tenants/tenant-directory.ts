/**
 * Looks up the tenants of one version of the route document by API key or by name. Only key
 * digests are stored and compared, so that no heap dump, log line or metric shows a key.
 */
import { digestOf } from './key-digest.js';
import type { Tenant } from './tenant.js';

/** Maximum length of an API key, in characters. */
export const MAXIMUM_KEY_CHARACTERS = 255;

/** A tenant with its keys, as the route document lists it. */
export interface TenantEntry extends Tenant {
  readonly keys: readonly string[];
}

/** Identifies a list of tenants, so that two lists can be compared without storing them. */
function digestOfEntries(entries: readonly TenantEntry[]): string {
  return digestOf(JSON.stringify(entries));
}

/** An immutable index of the tenants by key digest and by name. */
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

  /**
   * Returns `previous` itself when the tenants are unchanged, because most documents change only
   * routes.
   */
  static createOrReuse(
    entries: readonly TenantEntry[],
    previous?: TenantDirectory,
  ): TenantDirectory {
    const entriesDigest = digestOfEntries(entries);
    if (previous?.entriesDigest === entriesDigest) return previous;
    return new TenantDirectory(entries, entriesDigest);
  }

  /** All tenants, in the order of the route document. */
  get tenants(): Iterable<Tenant> {
    return this.byName.values();
  }

  /** The tenant that holds the key. The lookup time doesn't depend on the number of keys. */
  findByKey(key: string): Tenant | undefined {
    // No tenant has a key this long; skip hashing input of arbitrary length.
    if (key.length > MAXIMUM_KEY_CHARACTERS) return undefined;
    return this.byDigest.get(digestOf(key));
  }

  /** The tenant of that name; undefined when the document has none. */
  findByName(name: string): Tenant | undefined {
    return this.byName.get(name);
  }
}
