/** Reads a caller's request; it may be anything. */
import * as z from 'zod';
import { queryRequestSchema, type QueryRequest } from '../model/query-request.js';
import { badRequest, QueryError } from './query-error.js';

const QUERY_PATH = /^\/v1\/services\/([^/]{1,64})\/query$/;

/** Text that could hold a number beyond the largest double. */
const POSSIBLY_INFINITE_NUMBER = /[eE]\+?\d{3}|\d{300}/;

/**
 * What `JSON.parse` returned needs no second look at whether it is JSON; the
 * schema's recursive check would cost time and stack on large queries.
 */
const parsedRequestSchema = queryRequestSchema.extend({
  query: z.unknown().refine((query) => query !== undefined, 'is required'),
});

/** A request and its query as text. */
export interface ParsedQuery {
  readonly request: QueryRequest;
  /** The query as JSON text, for the back ends. */
  readonly queryText: string;
}

/** The service a path names, or undefined when it is no query path. */
export function parseServiceName(path: string): string | undefined {
  return QUERY_PATH.exec(path)?.[1];
}

function decodeBody(body: Uint8Array): string {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    throw badRequest('the body is not valid JSON in UTF-8');
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw badRequest('the body is not valid JSON in UTF-8');
  }
}

/** Would be written as null, which is another query. */
function rejectInfinite(_key: string, value: unknown): unknown {
  if (value === Infinity || value === -Infinity) {
    throw badRequest('a number is too large', 'query');
  }
  return value;
}

/** Writing fails only where nesting exhausts the stack. */
function serializeQuery(query: unknown, mayBeInfinite: boolean): string {
  try {
    return JSON.stringify(query, mayBeInfinite ? rejectInfinite : undefined);
  } catch (error) {
    if (error instanceof QueryError) throw error;
    throw badRequest('the query is nested too deeply', 'query');
  }
}

/**
 * The request in `body`.
 *
 * @throws QueryError of code `bad_request` naming the first wrong field.
 */
export function parseQueryRequest(body: Uint8Array): ParsedQuery {
  const text = decodeBody(body);
  const result = parsedRequestSchema.safeParse(parseJson(text));
  if (result.success) {
    const queryText = serializeQuery(result.data.query, POSSIBLY_INFINITE_NUMBER.test(text));
    return { request: result.data as QueryRequest, queryText };
  }
  const [issue] = result.error.issues;
  const path = issue === undefined ? '' : issue.path.map(String).join('.');
  throw badRequest(issue?.message ?? 'the body is not a query', path || undefined);
}
