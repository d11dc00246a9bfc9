/** The state of the controllers and daemons, and changes of the controllers' group. */
import * as z from 'zod';
import { readForCaller } from '../consensus/caller-barrier.js';
import { MembershipChangeRefusedError } from '../consensus/consensus-errors.js';
import type { ReplicatedLogStatus } from '../consensus/replicated-log.js';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import { SOFTWARE_VERSION } from '../software-version.js';
import { nameSchema } from '../model/service-definition.js';
import { RETRY_AFTER_MS, type AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { describeForce } from './describe-force.js';
import type { MemberAdministration } from './member-administration.js';
import {
  memberListSchema,
  statusSchema,
  type MemberList,
  type StatusReport,
} from './response-schemas.js';
import { defineRoute, type Route } from './route.js';
import type { RouteTracker } from './route-tracker.js';

function describeMembers({ members, lastIndex }: ReplicatedLogStatus): StatusReport['members'] {
  return members.map(({ memberId, address, voter, matchIndex }) => ({
    memberId,
    address,
    voter,
    behind: matchIndex === undefined ? null : Math.max(0, lastIndex - matchIndex),
  }));
}

function describeRoutes(routes: RouteTracker | undefined): StatusReport['routes'] {
  const gateways = routes?.gatewayRoutes() ?? [];
  return {
    version: routes?.routeVersion ?? null,
    gateways: gateways.map(({ gateway, zone, version, lackingMs, owedBy }) => ({
      gateway,
      zone,
      version,
      lackingMs: lackingMs ?? null,
      owedBy: [...owedBy],
    })),
  };
}

/** What this controller itself knows; needs no quorum, so that it answers in an emergency too. */
function describeStatus({ machine, dependencies }: AdministrationContext): StatusReport {
  const status = dependencies.log.status();
  const { memberId, role, leaderId, term, commitIndex, appliedIndex, lastIndex } = status;
  const { revision } = machine.current();
  return {
    version: SOFTWARE_VERSION,
    memberId,
    role,
    leaderId: leaderId ?? null,
    term,
    commitIndex,
    appliedIndex,
    lastIndex,
    sinceQuorumMs: Number.isFinite(status.sinceQuorumMs) ? status.sinceQuorumMs : null,
    revision,
    members: describeMembers(status),
    force: describeForce(dependencies.forces, revision) ?? null,
    daemons: [...(dependencies.forces?.inForce(revision).daemons ?? [])],
    routes: describeRoutes(dependencies.routes),
  };
}

const memberRequestSchema = z.discriminatedUnion('action', [
  z.strictObject({
    action: z.literal('addLearner'),
    memberId: nameSchema,
    address: z.string().max(64).describe('host:port for internal messages.'),
  }),
  z.strictObject({ action: z.literal('promote'), memberId: nameSchema }),
  z.strictObject({ action: z.literal('remove'), memberId: nameSchema }),
]);
type MemberRequest = z.infer<typeof memberRequestSchema>;

function runMemberRequest(members: MemberAdministration, request: MemberRequest): Promise<void> {
  switch (request.action) {
    case 'addLearner':
      return members.addLearner(request.memberId, request.address);
    case 'promote':
      return members.promote(request.memberId);
    case 'remove':
      return members.remove(request.memberId);
  }
}

function memberError(error: unknown): AdministrationError {
  const refused = error instanceof MembershipChangeRefusedError;
  const reason = refused ? error.reason : error instanceof Error ? error.message : String(error);
  const notRun = error instanceof DriftwayError && error.hasLabel(ErrorLabel.NotRun);
  const badInput = error instanceof DriftwayError && error.hasLabel(ErrorLabel.BadInput);
  const code = badInput ? 'rejected' : notRun ? 'unavailable' : 'outcome_unknown';
  const details = {
    changed: notRun ? ('no' as const) : ('unknown' as const),
    ...(badInput ? {} : { retryAfterMs: RETRY_AFTER_MS }),
    cause: error,
  };
  return new AdministrationError(code, 'change members', reason, details);
}

async function changeMembers(
  context: AdministrationContext,
  request: MemberRequest,
  caller: AbortSignal,
): Promise<MemberList> {
  const { members, log, clock } = context.dependencies;
  if (members === undefined) {
    const reason = 'this controller cannot change members';
    throw new AdministrationError('not_offered', 'change members', reason);
  }
  try {
    await readForCaller(log, clock, caller);
    await runMemberRequest(members, request);
  } catch (error) {
    throw memberError(error);
  }
  return { members: describeMembers(log.status()) };
}

export const STATUS_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/status',
    operationId: 'getStatus',
    summary: 'Leader, lag, members, daemons and gateways as this controller knows them.',
    access: 'any_token',
    response: statusSchema,
    errors: [],
    handle: async ({ context }) => describeStatus(context),
  }),
  defineRoute({
    method: 'POST',
    path: '/v1/members',
    operationId: 'changeMembers',
    summary: 'Adds a learner, lets it vote, or removes a member; one change at a time.',
    access: 'whole_tree',
    body: memberRequestSchema,
    response: memberListSchema,
    errors: ['forbidden', 'rejected', 'not_offered', 'outcome_unknown'],
    handle: ({ context, body, signal }) => changeMembers(context, body, signal),
  }),
];
