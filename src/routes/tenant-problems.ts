/** What is wrong with the tenants of a route document that its schema cannot say; names no key. */
import type { TenantEntry } from '../tenants/tenant-directory.js';

/** Places such as `tenants.3.keys.0`, by the key that is listed there. */
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

/** Keys of other tenants; one that a tenant lists twice names the same tenant. */
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

/** See the module comment. */
export function findTenantProblems(tenants: readonly TenantEntry[]): string[] {
  const pathsByKey: PathsByKey = new Map();
  return [
    ...findDuplicateNames(tenants),
    ...tenants.flatMap(({ keys }, index) => findSharedKeys(keys, `tenants.${index}`, pathsByKey)),
  ];
}
