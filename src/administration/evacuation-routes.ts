/** Evacuating zones: gateways send nothing new to the replicas of an evacuated zone. */
import * as z from 'zod';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import { EvacuationRefusedError, type EvacuationOrders } from '../evacuations/evacuation-orders.js';
import { RETRY_AFTER_MS, type AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { evacuationListSchema } from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

const evacuationRequestSchema = z.strictObject({
  zone: z.string().min(1).max(255),
  evacuated: z.boolean().describe('False ends the evacuation.'),
});

function ordersOf({ dependencies }: AdministrationContext): EvacuationOrders {
  if (dependencies.evacuations !== undefined) return dependencies.evacuations;
  const reason = 'this controller cannot evacuate zones';
  throw new AdministrationError('not_offered', 'evacuate zone', reason);
}

function orderError(error: unknown): AdministrationError {
  const reason = error instanceof Error ? error.message : String(error);
  if (error instanceof EvacuationRefusedError) {
    return new AdministrationError('not_found', 'evacuate zone', reason, { cause: error });
  }
  const isNotRun = error instanceof DriftwayError && error.hasLabel(ErrorLabel.NotRun);
  const code = isNotRun ? 'unavailable' : 'outcome_unknown';
  const changed = isNotRun ? 'no' : 'unknown';
  const details = { changed, retryAfterMs: RETRY_AFTER_MS, cause: error } as const;
  return new AdministrationError(code, 'evacuate zone', reason, details);
}

async function listZones(context: AdministrationContext): Promise<{ zones: string[] }> {
  const orders = ordersOf(context);
  await context.catchUp();
  return { zones: orders.appliedZones() };
}

export const EVACUATION_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/evacuations',
    operationId: 'listEvacuations',
    summary: 'The zones that are evacuated.',
    access: 'any_token',
    response: evacuationListSchema,
    errors: ['not_offered'],
    handle: async ({ context }) => listZones(context),
  }),
  defineRoute({
    method: 'POST',
    path: '/v1/evacuations',
    operationId: 'orderEvacuation',
    summary: 'Evacuates a zone, or ends that; the same order again changes nothing.',
    access: 'whole_tree',
    body: evacuationRequestSchema,
    response: evacuationListSchema,
    errors: ['not_found', 'not_offered', 'outcome_unknown'],
    handle: async ({ context, body, signal }) => {
      const orders = ordersOf(context);
      try {
        await orders.submit({ zone: body.zone, isEvacuated: body.evacuated }, signal);
      } catch (error) {
        throw orderError(error);
      }
      return listZones(context);
    },
  }),
];
