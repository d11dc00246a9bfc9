/**
 * Hashes a whole configuration: equal content has an equal hash, different
 * content a different one. Parts are immutable and each is hashed once, so that
 * hashing after a change costs only the parts that the change replaced.
 */
import { xxh64 } from '@node-rs/xxhash';
import type { ConfigurationState } from '../settings/configuration-state.js';

const HASH_DIGITS = 16;

const partHashes = new WeakMap<object, string>();

function hashText(text: string): string {
  return xxh64(text).toString(16).padStart(HASH_DIGITS, '0');
}

/**
 * Rebuilds objects with sorted keys, because equal states may list their keys
 * in different orders.
 */
function sortKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value;
  const entries = Object.entries(value);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}

function hashPart(part: object): string {
  let hash = partHashes.get(part);
  if (hash === undefined) {
    hash = hashText(JSON.stringify(part, sortKeys));
    partHashes.set(part, hash);
  }
  return hash;
}

function hashParts(parts: Readonly<Record<string, object>>): string {
  const names = Object.keys(parts).sort();
  const lines = names.map((name) => `${name}=${hashPart(parts[name] as object)}`);
  return hashText(lines.join('\n'));
}

/** Returns 16 hexadecimal digits. Detects faults; not resistant to forgery. */
export function hashConfiguration(state: ConfigurationState): string {
  const { revision, regions, services, overrides } = state;
  const parts = [regions, services, overrides].map((part) => hashParts(part));
  return hashText(`${revision}\n${parts.join('\n')}`);
}
