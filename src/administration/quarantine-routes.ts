/** Requests under which replicas end: which are suspected or refused by gateways, and lifting that. */
import * as z from 'zod';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import { MAXIMUM_FINGERPRINT_LENGTH } from '../quarantine/quarantine-entry.js';
import { UnknownFingerprintError, type QuarantineOrders } from '../quarantine/quarantine-orders.js';
import { RETRY_AFTER_MS, type AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { quarantineListSchema, type QuarantineList } from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

const LIFT_STEP = 'lift quarantine';

const liftRequestSchema = z.strictObject({
  fingerprint: z.string().min(1).max(MAXIMUM_FINGERPRINT_LENGTH),
});

function ordersOf({ dependencies }: AdministrationContext): QuarantineOrders {
  if (dependencies.quarantine !== undefined) return dependencies.quarantine;
  throw new AdministrationError('not_offered', LIFT_STEP, 'this controller keeps no quarantine');
}

function liftError(error: unknown): AdministrationError {
  const reason = error instanceof Error ? error.message : String(error);
  if (error instanceof UnknownFingerprintError) {
    return new AdministrationError('not_found', LIFT_STEP, reason, { cause: error });
  }
  const isNotRun = error instanceof DriftwayError && error.hasLabel(ErrorLabel.NotRun);
  const code = isNotRun ? 'unavailable' : 'outcome_unknown';
  const changed = isNotRun ? 'no' : 'unknown';
  const details = { changed, retryAfterMs: RETRY_AFTER_MS, cause: error } as const;
  return new AdministrationError(code, LIFT_STEP, reason, details);
}

async function listRequests(context: AdministrationContext): Promise<QuarantineList> {
  const orders = ordersOf(context);
  await context.catchUp();
  return {
    requests: orders.applied().map(({ ended, endedInTrial, ...entry }) => ({
      ...entry,
      ended: [...ended],
      endedInTrial: [...endedInTrial],
    })),
  };
}

export const QUARANTINE_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/quarantine',
    operationId: 'listQuarantine',
    summary: 'Requests that gateways suspect or refuse because replicas end under them.',
    access: 'any_token',
    response: quarantineListSchema,
    errors: ['not_offered'],
    handle: async ({ context }) => listRequests(context),
  }),
  defineRoute({
    method: 'POST',
    path: '/v1/quarantine/lift',
    operationId: 'liftQuarantine',
    summary: 'Has a request sent to replicas again; the same order again changes nothing.',
    access: 'whole_tree',
    body: liftRequestSchema,
    response: quarantineListSchema,
    errors: ['not_found', 'not_offered', 'outcome_unknown'],
    handle: async ({ context, body, signal }) => {
      const orders = ordersOf(context);
      try {
        await orders.lift(body.fingerprint, signal);
      } catch (error) {
        throw liftError(error);
      }
      return listRequests(context);
    },
  }),
];
