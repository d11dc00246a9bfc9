/** Parses and validates a caller's request, whose body is untrusted. */
import * as z from 'zod';
import { queryRequestSchema, type QueryRequest } from '../model/query-request.js';
import { badRequest, QueryError } from './query-error.js';

const QUERY_PATH = /^\/v1\/services\/([^/]{1,64})\/query$/;

/** Matches any JSON text that may contain a number beyond the largest double. */
const POSSIBLY_INFINITE_NUMBER = /[eE]\+?\d{3}|\d{300}/;

/**
 * Schema that does not check whether `query` is JSON, since `JSON.parse` returned it; the
 * recursive check of {@link queryRequestSchema} costs time and stack on large queries.
 */
const parsedRequestSchema = queryRequestSchema.extend({
  query: z.unknown().refine((query) => query !== undefined, 'is required'),
});

/** A validated request with the JSON text of its query. */
export interface ParsedQuery {
  readonly request: QueryRequest;
  /** JSON text of the query, the body of every attempt. */
  readonly queryText: string;
}

/** Name of the service in a query path, or undefined for any other path. */
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

/** `JSON.stringify` replacer that rejects infinite numbers: they would become null, a different query. */
function rejectInfinite(_key: string, value: unknown): unknown {
  if (value === Infinity || value === -Infinity) {
    throw badRequest('a number is too large', 'query');
  }
  return value;
}

/** Serializes the query; `JSON.stringify` itself fails only where nesting exhausts the stack. */
function serializeQuery(query: unknown, mayBeInfinite: boolean): string {
  try {
    return JSON.stringify(query, mayBeInfinite ? rejectInfinite : undefined);
  } catch (error) {
    if (error instanceof QueryError) throw error;
    throw badRequest('the query is nested too deeply', 'query');
  }
}

/**
 * Parses a request body.
 *
 * @throws QueryError with code `bad_request` that names the first invalid field.
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
