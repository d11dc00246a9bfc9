/** Making changes and asking what became of them. */
import * as z from 'zod';
import { applyOperations } from '../settings/apply-operations.js';
import { changeRequestSchema, type ChangeRequest } from '../settings/change.js';
import { ChangeRejectedError } from '../settings/change-rejected-error.js';
import { differencesBetween } from '../settings/configuration-difference.js';
import type { Principal } from '../settings/principal.js';
import type { AdministrationContext } from './administration-context.js';
import { reportChange } from './change-report.js';
import { conflictError, refusalError } from './outcome-response.js';
import { changeReportSchema, changeResultSchema, type ChangeResult } from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

/** The command as the log would carry it. */
function toCommand(context: AdministrationContext, principal: Principal, request: ChangeRequest) {
  const at = context.dependencies.clock.wallTime();
  return { kind: 'change' as const, principal, at, request };
}

async function acceptChange(
  context: AdministrationContext,
  principal: Principal,
  request: ChangeRequest,
): Promise<ChangeResult> {
  const { outcome, repeated } = await context.propose(toCommand(context, principal, request));
  if (outcome.kind === 'conflict') throw conflictError(context.machine, request);
  if (outcome.kind !== 'accepted') throw refusalError(outcome);
  const { revision, acceptedAt } = outcome;
  return { changeId: request.changeId, revision, acceptedAt, repeated, dryRun: false };
}

/** Everything that accepting would check, against the newest configuration; changes nothing. */
async function tryChange(
  context: AdministrationContext,
  principal: Principal,
  request: ChangeRequest,
): Promise<ChangeResult> {
  const configuration = await context.readConfiguration();
  const refusal = context.machine.refusalOf(toCommand(context, principal, request));
  if (refusal !== undefined) throw refusalError(refusal);
  if (request.baseRevision !== configuration.revision) {
    throw conflictError(context.machine, request);
  }
  try {
    const next = applyOperations(configuration, request.operations);
    const differences = differencesBetween(configuration, next);
    const { changeId } = request;
    return { changeId, revision: next.revision, repeated: false, dryRun: true, differences };
  } catch (error) {
    if (!(error instanceof ChangeRejectedError)) throw error;
    throw refusalError({ kind: 'rejected', path: error.path, reason: error.reason });
  }
}

export const CHANGE_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'POST',
    path: '/v1/changes',
    operationId: 'makeChange',
    summary: 'Accepts all operations of a change or none. Resend with the same change id.',
    access: 'any_token',
    query: z.strictObject({ dryRun: z.enum(['true', 'false']).optional() }),
    body: changeRequestSchema,
    response: changeResultSchema,
    errors: [
      'forbidden',
      'conflict',
      'change_id_reused',
      'too_large',
      'rejected',
      'outcome_unknown',
    ],
    handle: ({ context, principal, query, body }) =>
      query.dryRun === 'true'
        ? tryChange(context, principal, body)
        : acceptChange(context, principal, body),
  }),
  defineRoute({
    method: 'GET',
    path: '/v1/changes/{changeId}',
    operationId: 'getChange',
    summary: 'What became of a change, and at how many daemons it is in force.',
    access: 'any_token',
    response: changeReportSchema,
    errors: ['not_found'],
    handle: ({ context, parameters }) => reportChange(context, parameters['changeId'] ?? ''),
  }),
];
