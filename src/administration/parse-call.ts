/** Validates the query string and the body of a request against a route's schemas. */
import * as z from 'zod';
import { describeIssues } from '../errors/input-problem.js';
import type { HttpRequest } from '../seams/http.js';
import { AdministrationError } from './administration-error.js';
import type { Route } from './route.js';

const STEP = 'read request';
/** Most problems listed in one answer. */
const MAXIMUM_PROBLEMS = 20;

function parseWith(schema: z.ZodType, where: string, value: unknown): unknown {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const problems = describeIssues(schema, value, parsed.error.issues)
    .slice(0, MAXIMUM_PROBLEMS)
    .map(({ path, reason }) => ({ path: path === '' ? where : `${where}.${path}`, reason }));
  const reason = problems.map((problem) => `${problem.path}: ${problem.reason}`).join('; ');
  throw new AdministrationError('bad_request', STEP, reason, { problems });
}

function readJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)) as unknown;
  } catch (error) {
    throw new AdministrationError('bad_request', STEP, 'the body is not JSON', { cause: error });
  }
}

/**
 * The query and the body as the route's handler takes them.
 *
 * @throws AdministrationError `bad_request` or `too_large`.
 */
export function parseCall(
  route: Route,
  request: HttpRequest,
  maximumBodyBytes: number,
): { readonly query: unknown; readonly body: unknown } {
  if (request.body.length > maximumBodyBytes) {
    const reason = `the body takes ${request.body.length} bytes of at most ${maximumBodyBytes}`;
    throw new AdministrationError('too_large', STEP, reason);
  }
  const query = parseWith(
    route.query ?? z.strictObject({}),
    'query',
    Object.fromEntries(request.query),
  );
  if (route.body === undefined) return { query, body: undefined };
  return { query, body: parseWith(route.body, 'body', readJson(request.body)) };
}
