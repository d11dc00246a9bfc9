/** What is wrong with the tenants of a route document that its schema cannot say; names no key. */
import type { TenantEntry } from '../tenants/tenant-directory.js';

/** Places such as `tenants.3.keys.0`, by the key that is listed there. */
type PlacesByKey = Map<string, string>;

function problemsOfNames(tenants: readonly TenantEntry[]): string[] {
  const problems: string[] = [];
  const placesByName = new Map<string, string>();
  for (const [index, { name }] of tenants.entries()) {
    const place = `tenants.${index}`;
    const other = placesByName.get(name);
    if (other === undefined) placesByName.set(name, place);
    else problems.push(`${place}.name: ${other} has this name too`);
  }
  return problems;
}

/** Keys of other tenants; one that a tenant lists twice names the same tenant. */
function problemsOfKeys(keys: readonly string[], tenant: string, known: PlacesByKey): string[] {
  const problems: string[] = [];
  for (const key of new Set(keys)) {
    const place = `${tenant}.keys.${keys.indexOf(key)}`;
    const other = known.get(key);
    if (other === undefined) known.set(key, place);
    else problems.push(`${place}: the same key as ${other}`);
  }
  return problems;
}

/** See the module comment. */
export function problemsOfTenants(tenants: readonly TenantEntry[]): string[] {
  const known: PlacesByKey = new Map();
  return [
    ...problemsOfNames(tenants),
    ...tenants.flatMap(({ keys }, index) => problemsOfKeys(keys, `tenants.${index}`, known)),
  ];
}
