/** One endpoint: its place, its schemas and its work. The OpenAPI document is made from these. */
import type { z } from 'zod';
import type { Principal } from '../settings/principal.js';
import type { AdministrationContext } from './administration-context.js';
import type { AdministrationErrorCode } from './administration-error.js';

/** Who may call: any token, or only one that covers the whole tree. */
export type RouteAccess = 'any_token' | 'whole_tree';

/** One call, its parts already validated. */
export interface RouteCall<Body, Query> {
  readonly context: AdministrationContext;
  readonly principal: Principal;
  /** Values of the `{name}` parts of the path. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly body: Body;
  readonly query: Query;
  /** Aborts when the caller closed its connection. */
  readonly signal: AbortSignal;
}

/** What is written down of an endpoint. */
export interface RouteDefinition<B extends z.ZodType, Q extends z.ZodObject, R extends z.ZodType> {
  readonly method: 'GET' | 'POST';
  /** With `{name}` for variable parts. */
  readonly path: string;
  readonly operationId: string;
  readonly summary: string;
  readonly access: RouteAccess;
  readonly body?: B;
  readonly query?: Q;
  readonly response: R;
  /** Besides those that every endpoint has. */
  readonly errors: readonly AdministrationErrorCode[];
  readonly handle: (call: RouteCall<z.infer<B>, z.infer<Q>>) => Promise<z.infer<R>>;
}

/** A definition with its types forgotten, for tables. */
export type Route = Omit<RouteDefinition<z.ZodType, z.ZodObject, z.ZodType>, 'handle'> & {
  readonly handle: (call: RouteCall<unknown, unknown>) => Promise<unknown>;
};

/** Checks a definition against its schemas' types. */
export function defineRoute<B extends z.ZodType, Q extends z.ZodObject, R extends z.ZodType>(
  definition: RouteDefinition<B, Q, R>,
): Route {
  return definition as unknown as Route;
}

/** The values of a path's variable parts, or undefined when the path is another one. */
export function matchPath(template: string, path: string): Record<string, string> | undefined {
  const expected = template.split('/');
  const actual = path.split('/');
  if (expected.length !== actual.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, part] of expected.entries()) {
    const value = actual[index] ?? '';
    const name = /^\{(\w+)\}$/.exec(part)?.[1];
    if (name !== undefined && value !== '') parameters[name] = value;
    else if (part !== value) return undefined;
  }
  return parameters;
}
