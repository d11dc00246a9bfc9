/**
 * Validates what the schema of a route document cannot express about tenants: unique names and
 * unique API keys. The messages contain no API key.
 */
import type { TenantEntry } from '../tenants/tenant-directory.js';

/** Paths within the document, such as `tenants.3.keys.0`, by the API key at that path. */
type PathsByKey = Map<string, string>;

function findDuplicateNames(tenants: readonly TenantEntry[]): string[] {
  const problems: string[] = [];
  const pathsByName = new Map<string, string>();
  for (const [index, { name }] of tenants.entries()) {
    const path = `tenants.${index}`;
    const otherPath = pathsByName.get(name);
    if (otherPath === undefined) pathsByName.set(name, path);
    else problems.push(`${path}.name: ${otherPath} has this name too`);
  }
  return problems;
}

/** Finds keys that an earlier tenant has. A tenant may list one of its own keys twice. */
function findSharedKeys(
  keys: readonly string[],
  tenantPath: string,
  pathsByKey: PathsByKey,
): string[] {
  const problems: string[] = [];
  for (const key of new Set(keys)) {
    const path = `${tenantPath}.keys.${keys.indexOf(key)}`;
    const otherPath = pathsByKey.get(key);
    if (otherPath === undefined) pathsByKey.set(key, path);
    else problems.push(`${path}: the same key as ${otherPath}`);
  }
  return problems;
}

/** Returns one message for each problem, starting with its path; empty when there is none. */
export function findTenantProblems(tenants: readonly TenantEntry[]): string[] {
  const pathsByKey: PathsByKey = new Map();
  return [
    ...findDuplicateNames(tenants),
    ...tenants.flatMap(({ keys }, index) => findSharedKeys(keys, `tenants.${index}`, pathsByKey)),
  ];
}
