/** Reading the configuration and its history. */
import * as z from 'zod';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { configurationSchema, historySchema, type HistoryReport } from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

const DEFAULT_HISTORY_LIMIT = 20;
const MAXIMUM_HISTORY_LIMIT = 1_000;

async function readConfigurationAt(
  context: AdministrationContext,
  revision: number | undefined,
): Promise<ConfigurationState> {
  const current = await context.readConfiguration();
  if (revision === undefined || revision === current.revision) return current;
  const earlier = context.machine.configurationAt(revision);
  if (earlier !== undefined) return earlier;
  const reason = `revision ${revision} is not kept; the current one is ${current.revision}`;
  throw new AdministrationError('not_found', 'find revision', reason);
}

async function readHistory(
  context: AdministrationContext,
  before: number,
  limit: number,
): Promise<HistoryReport> {
  const { revision } = await context.readConfiguration();
  const changes = context.machine
    .acceptedChanges()
    .filter((change) => change.revision < before)
    .slice(-limit)
    .reverse()
    .map((change) => ({ ...change, operations: [...change.operations] }));
  return { revision, changes };
}

export const CONFIGURATION_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/configuration',
    operationId: 'getConfiguration',
    summary: 'The whole configuration at the newest or an earlier revision.',
    access: 'any_token',
    query: z.strictObject({ revision: z.coerce.number().int().min(0).optional() }),
    response: configurationSchema,
    errors: ['not_found'],
    handle: ({ context, query }) =>
      readConfigurationAt(context, query.revision) as Promise<z.infer<typeof configurationSchema>>,
  }),
  defineRoute({
    method: 'GET',
    path: '/v1/history',
    operationId: 'getHistory',
    summary: 'Accepted changes, newest first: who, when, why and what.',
    access: 'any_token',
    query: z.strictObject({
      before: z.coerce.number().int().min(0).optional(),
      limit: z.coerce.number().int().min(1).max(MAXIMUM_HISTORY_LIMIT).optional(),
    }),
    response: historySchema,
    errors: [],
    handle: ({ context, query }) =>
      readHistory(context, query.before ?? Infinity, query.limit ?? DEFAULT_HISTORY_LIMIT),
  }),
];
