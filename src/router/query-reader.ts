/** Reads a caller's request; it may be anything. */
import { queryRequestSchema, type QueryRequest } from '../model/query-request.js';
import { badRequest } from './query-error.js';

const QUERY_PATH = /^\/v1\/services\/([^/]{1,64})\/query$/;

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

/**
 * The request in `body`.
 *
 * @throws QueryError of code `bad_request` naming the first wrong field.
 */
export function readQueryRequest(body: Uint8Array): QueryRequest {
  const content = parseJson(body);
  let result;
  try {
    result = queryRequestSchema.safeParse(content);
  } catch {
    throw badRequest('the body is nested too deeply');
  }
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = issue === undefined ? '' : issue.path.map(String).join('.');
  throw badRequest(issue?.message ?? 'the body is not a query', path || undefined);
}
