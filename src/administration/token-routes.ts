/** Creating, revoking and listing the tokens of teams. */
import {
  createTokenRequestSchema,
  revokeTokenRequestSchema,
  type CreateTokenRequest,
} from '../settings/access-token.js';
import type { ConfigurationCommand } from '../settings/configuration-command.js';
import type { Principal } from '../settings/principal.js';
import { hasScope } from '../settings/validate-configuration.js';
import type { AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { refusalError } from './outcome-response.js';
import {
  doneSchema,
  tokenListSchema,
  type DoneResult,
  type TokenList,
} from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

async function runTokenCommand(
  context: AdministrationContext,
  command: ConfigurationCommand,
): Promise<DoneResult> {
  const { outcome, repeated } = await context.propose(command);
  if (outcome.kind !== 'done') throw refusalError(outcome);
  return { changeId: command.request.changeId, acceptedAt: outcome.acceptedAt, repeated };
}

/**
 * Asked of the newest configuration; a scope may still go with its service later.
 * Not `rejected`: that is the word of the agreed history on the command itself.
 */
async function requireScopes(
  context: AdministrationContext,
  { changeId, scopes }: CreateTokenRequest,
): Promise<void> {
  const configuration = await context.readConfiguration();
  const isResend = context.machine.outcomeOf(changeId) !== undefined;
  if (isResend) return;
  const problems = scopes.flatMap((scope, index) => {
    if (hasScope(configuration, scope)) return [];
    return [{ path: `body.scopes.${index}`, reason: `there is no ${scope}` }];
  });
  const [first] = problems;
  if (first === undefined) return;
  const reason = `${first.path}: ${first.reason}`;
  throw new AdministrationError('bad_request', 'check scopes', reason, { problems });
}

async function createToken(
  context: AdministrationContext,
  principal: Principal,
  request: CreateTokenRequest,
): Promise<DoneResult> {
  await requireScopes(context, request);
  const at = context.dependencies.clock.wallTime();
  return runTokenCommand(context, { kind: 'createToken', principal, at, request });
}

async function listTokens(context: AdministrationContext): Promise<TokenList> {
  await context.catchUp();
  const tokens = context.machine
    .allTokens()
    .map(({ hash: _hash, scopes, ...token }) => ({ ...token, scopes: [...scopes] }));
  return { tokens, records: [...context.machine.allTokenRecords()] };
}

export const TOKEN_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/tokens',
    operationId: 'listTokens',
    summary: 'Every token without its hash, and the last creations and revocations.',
    access: 'whole_tree',
    response: tokenListSchema,
    errors: ['forbidden'],
    handle: ({ context }) => listTokens(context),
  }),
  defineRoute({
    method: 'POST',
    path: '/v1/tokens',
    operationId: 'createToken',
    summary: 'Creates a token from the hash of its text, which only the client knows.',
    access: 'whole_tree',
    body: createTokenRequestSchema,
    response: doneSchema,
    errors: ['forbidden', 'rejected', 'change_id_reused', 'outcome_unknown'],
    handle: ({ context, principal, body }) => createToken(context, principal, body),
  }),
  defineRoute({
    method: 'POST',
    path: '/v1/tokens/revoke',
    operationId: 'revokeToken',
    summary: 'Revokes a token; changes made with it are refused from then on.',
    access: 'whole_tree',
    body: revokeTokenRequestSchema,
    response: doneSchema,
    errors: ['forbidden', 'rejected', 'change_id_reused', 'outcome_unknown'],
    handle: ({ context, principal, body }) => {
      const at = context.dependencies.clock.wallTime();
      return runTokenCommand(context, { kind: 'revokeToken', principal, at, request: body });
    },
  }),
];
