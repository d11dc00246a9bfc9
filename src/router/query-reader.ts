/** Reads a caller's request; it may be anything. */
import { z } from 'zod';
import { queryRequestSchema, type QueryRequest } from '../model/query-request.js';
import { badRequest } from './query-error.js';

const QUERY_PATH = /^\/v1\/services\/([^/]{1,64})\/query$/;

/**
 * What `JSON.parse` returned needs no second look at whether it is JSON; the
 * schema's recursive check would cost time and stack on large queries.
 */
const parsedRequestSchema = queryRequestSchema.extend({
  query: z.unknown().refine((query) => query !== undefined, 'is required'),
});

/** A request and its query as text. */
export interface ReadQuery {
  readonly request: QueryRequest;
  /** The query as JSON text, for the back ends. */
  readonly queryText: string;
}

/** The service a path names, or undefined when it is no query path. */
export function serviceOfPath(path: string): string | undefined {
  return QUERY_PATH.exec(path)?.[1];
}

function parseJson(body: Uint8Array): unknown {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(body);
    return JSON.parse(text) as unknown;
  } catch {
    throw badRequest('the body is not valid JSON in UTF-8');
  }
}

/** Writing fails only where nesting exhausts the stack. */
function writeJson(query: unknown): string {
  try {
    return JSON.stringify(query);
  } catch {
    throw badRequest('the query is nested too deeply', 'query');
  }
}

/**
 * The request in `body`.
 *
 * @throws QueryError of code `bad_request` naming the first wrong field.
 */
export function readQueryRequest(body: Uint8Array): ReadQuery {
  const result = parsedRequestSchema.safeParse(parseJson(body));
  if (result.success) {
    const queryText = writeJson(result.data.query);
    return { request: result.data as QueryRequest, queryText };
  }
  const [issue] = result.error.issues;
  const path = issue === undefined ? '' : issue.path.map(String).join('.');
  throw badRequest(issue?.message ?? 'the body is not a query', path || undefined);
}
