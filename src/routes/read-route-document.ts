/** Reads a route document from bytes and checks what its schema cannot say. */
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import {
  MAXIMUM_ROUTE_DOCUMENT_BYTES,
  routeDocumentSchema,
  type Route,
  type RouteDocument,
} from './route-document.js';
import { findTenantProblems } from './tenant-problems.js';

/** The bytes are no valid route document; nothing of it was taken. */
export class InvalidRouteDocumentError extends DriftwayError {
  constructor(
    /** Every problem, such as `routes.0.timeoutMs: Too small`. */
    readonly problems: readonly string[],
  ) {
    super(problems.join('; '), { step: 'read route document', labels: [ErrorLabel.BadInput] });
  }
}

/** The services that a route may send requests to. */
export function servicesOf(route: Route): readonly string[] {
  if (route.shards !== undefined) return route.shards;
  if (route.split !== undefined) return route.split.map(({ service }) => service);
  return route.service === undefined ? [] : [route.service];
}

function findTargetProblems(route: Route, path: string): string[] {
  const targets = [route.service, route.split, route.shards].filter((one) => one !== undefined);
  if (targets.length !== 1) return [`${path}: name one of service, split and shards`];
  if (route.shards !== undefined && new Set(route.shards).size < route.shards.length) {
    return [`${path}.shards: a shard is named twice`];
  }
  if (route.split === undefined) return [];
  const total = route.split.reduce((sum, { weight }) => sum + weight, 0);
  return total > 0 ? [] : [`${path}.split: the weights sum to 0`];
}

function findDocumentProblems(document: RouteDocument): string[] {
  const problems: string[] = [];
  const services = new Set(document.services.map(({ name }) => name));
  if (services.size < document.services.length) problems.push('services: a name is used twice');
  const hostsAndPrefixes = new Set<string>();
  for (const [index, route] of document.routes.entries()) {
    const path = `routes.${index}`;
    problems.push(...findTargetProblems(route, path));
    for (const service of servicesOf(route)) {
      if (!services.has(service)) problems.push(`${path}: there is no service "${service}"`);
    }
    const key = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (hostsAndPrefixes.has(key)) problems.push(`${path}: another route has this host and prefix`);
    hostsAndPrefixes.add(key);
  }
  problems.push(...findTenantProblems(document.tenants ?? []));
  return problems;
}

/** Without the text around it, which the error quotes: it may hold an API key. */
function locateJsonError({ message }: Error): string {
  return /at position \d+/.exec(message)?.[0] ?? 'somewhere';
}

function parseJson(bytes: Uint8Array): unknown {
  if (bytes.length > MAXIMUM_ROUTE_DOCUMENT_BYTES) {
    const limit = `at most ${MAXIMUM_ROUTE_DOCUMENT_BYTES}`;
    throw new InvalidRouteDocumentError([`${bytes.length} bytes; ${limit}`]);
  }
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes)) as unknown;
  } catch (error) {
    throw new InvalidRouteDocumentError([`not JSON, ${locateJsonError(error as Error)}`]);
  }
}

/** @throws InvalidRouteDocumentError naming every problem. */
export function readRouteDocument(bytes: Uint8Array): RouteDocument {
  const parsed = routeDocumentSchema.safeParse(parseJson(bytes));
  if (!parsed.success) {
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.map(String).join('.')}: ${message}`,
    );
    throw new InvalidRouteDocumentError(problems);
  }
  const problems = findDocumentProblems(parsed.data);
  if (problems.length > 0) throw new InvalidRouteDocumentError(problems);
  return parsed.data;
}
