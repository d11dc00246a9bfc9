/** The OpenAPI document of the administration API, made from the table of routes. */
import { stringify } from 'yaml';
import * as z from 'zod';
import {
  ERROR_STATUS,
  errorBodySchema,
  type AdministrationErrorCode,
} from './administration-error.js';
import type { Route } from './route.js';
import { ROUTES } from './routes.js';

/** A part of the document. */
type Part = Record<string, unknown>;

/** Errors that every endpoint may answer with. */
export const COMMON_ERRORS: readonly AdministrationErrorCode[] = [
  'bad_request',
  'unauthorized',
  'too_large',
  'internal',
  'unavailable',
];

const DESCRIPTION = [
  'Changes and reads of the configuration that the controllers agree on. Every change carries a',
  'change id and the revision it was made against. A request whose answer was lost is resent as it',
  'is, to any controller, and gets the first result. Every error says whether anything was changed.',
  'Written by `npm run docs` from src/administration/routes.ts.',
].join(' ');

function jsonSchema(schema: z.ZodType, io: 'input' | 'output'): Part {
  const written: Part = { ...z.toJSONSchema(schema, { io }) };
  delete written['$schema'];
  return written;
}

function content(schema: Part): Part {
  return { 'application/json': { schema } };
}

function pathParameters(route: Route): Part[] {
  return [...route.path.matchAll(/\{(\w+)\}/g)].map(([, name]) => ({
    name,
    in: 'path',
    required: true,
    schema: { type: 'string' },
  }));
}

function queryParameters(route: Route): Part[] {
  if (route.query === undefined) return [];
  const { properties = {}, required = [] } = z.toJSONSchema(route.query, { io: 'output' });
  return Object.entries(properties).map(([name, schema]) => ({
    name,
    in: 'query',
    required: required.includes(name),
    schema,
  }));
}

/** Several codes may share a status. */
function errorResponses(route: Route): Part {
  const codes = [...new Set([...COMMON_ERRORS, ...route.errors])];
  const byStatus = new Map<number, AdministrationErrorCode[]>();
  for (const code of codes) {
    const status = ERROR_STATUS[code];
    byStatus.set(status, [...(byStatus.get(status) ?? []), code]);
  }
  const responses: Part = {};
  for (const [status, known] of [...byStatus].sort(([left], [right]) => left - right)) {
    responses[String(status)] = {
      description: known.join(', '),
      content: content({ $ref: '#/components/schemas/Error' }),
    };
  }
  return responses;
}

function operationOf(route: Route): Part {
  const access =
    route.access === 'whole_tree' ? 'Needs a token for the whole tree.' : 'Needs any valid token.';
  const parameters = [...pathParameters(route), ...queryParameters(route)];
  const body = route.body === undefined ? undefined : jsonSchema(route.body, 'input');
  return {
    operationId: route.operationId,
    summary: route.summary,
    description: access,
    ...(parameters.length === 0 ? {} : { parameters }),
    ...(body === undefined ? {} : { requestBody: { required: true, content: content(body) } }),
    responses: {
      '200': { description: 'Done.', content: content(jsonSchema(route.response, 'output')) },
      ...errorResponses(route),
    },
  };
}

function pathsOf(routes: readonly Route[]): Part {
  const paths: Record<string, Part> = {};
  for (const route of routes) {
    const item = (paths[route.path] ??= {});
    item[route.method.toLowerCase()] = operationOf(route);
  }
  return paths;
}

/** YAML. */
export function openApiDocument(): string {
  const document = {
    openapi: '3.1.0',
    info: { title: 'driftway administration API', version: '1', description: DESCRIPTION },
    security: [{ bearer: [] }],
    paths: pathsOf(ROUTES),
    components: {
      securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } },
      schemas: { Error: jsonSchema(errorBodySchema, 'output') },
    },
  };
  return stringify(document, { aliasDuplicateObjects: false, lineWidth: 100 });
}
