/** Whether a principal may make a change: containment of scopes in the subtrees of a token. */
import type { AccessToken } from './access-token.js';
import type { Operation } from './change.js';
import type { RefusedOutcome } from './change-outcome.js';
import type { ConfigurationCommand } from './configuration-command.js';
import type { ConfigurationState } from './configuration-state.js';
import { lookUp } from './look-up.js';
import { formatScope, parseScope, type Scope } from './scope.js';

/** The widest subtree; it holds everything. */
const EVERYTHING = 'defaults';

/** Finds the region of zones and services, those that the change itself adds included. */
class RegionLookup {
  constructor(
    private readonly state: ConfigurationState,
    private readonly operations: readonly Operation[],
  ) {}

  ofService(service: string): string | undefined {
    const known = lookUp(this.state.services, service);
    if (known !== undefined) return known.region;
    for (const operation of this.operations) {
      if (operation.type !== 'createService') continue;
      if (operation.service.name === service) return operation.service.region;
    }
    return undefined;
  }

  ofZone(zone: string): string | undefined {
    const known = Object.values(this.state.regions).find((region) => region.zones.includes(zone));
    if (known !== undefined) return known.name;
    for (const operation of this.operations) {
      if (operation.type === 'addZone' && operation.zone === zone) return operation.region;
    }
    return undefined;
  }
}

/** The subtrees that hold `scope`, itself included. */
function enclosing(regions: RegionLookup, scope: Scope): string[] {
  let region: string | undefined;
  if (scope.level === 'zone') region = regions.ofZone(scope.zone);
  if (scope.level === 'service') region = regions.ofService(scope.service);
  const wider = region === undefined ? [] : [formatScope({ level: 'region', region })];
  return [EVERYTHING, ...wider, formatScope(scope)];
}

/** The node that an operation changes. Services come and go by leave of their region. */
function targetOf(regions: RegionLookup, operation: Operation): Scope {
  switch (operation.type) {
    case 'set':
    case 'unset':
      return parseScope(operation.scope) ?? { level: 'defaults' };
    case 'createRegion':
      return { level: 'defaults' };
    case 'addZone':
      return { level: 'region', region: operation.region };
    case 'createService':
      return { level: 'region', region: operation.service.region };
    case 'removeService': {
      const region = regions.ofService(operation.service);
      return region === undefined ? { level: 'defaults' } : { level: 'region', region };
    }
    default:
      return { level: 'service', service: operation.service };
  }
}

/** The first operation that `token` does not cover, or undefined when it covers all. */
function refusalOfOperations(
  state: ConfigurationState,
  token: AccessToken,
  operations: readonly Operation[],
): RefusedOutcome | undefined {
  const regions = new RegionLookup(state, operations);
  for (const [index, operation] of operations.entries()) {
    const target = targetOf(regions, operation);
    const covered = enclosing(regions, target).some((scope) => token.scopes.includes(scope));
    if (covered) continue;
    const reason = `the token of team ${token.team} does not cover ${formatScope(target)}`;
    return { kind: 'forbidden', path: `operations.${index}`, reason };
  }
  return undefined;
}

/** Whether `token` may create and revoke tokens and change the members. */
export function coversEverything(token: AccessToken): boolean {
  return token.scopes.includes(EVERYTHING);
}

/**
 * Why a command may not be run; undefined when it may. Asked when the command
 * is applied, so that a token revoked before that is refused at every controller.
 */
export function refusalOf(
  state: ConfigurationState,
  findToken: (tokenId: string) => AccessToken | undefined,
  { principal, ...command }: ConfigurationCommand,
): RefusedOutcome | undefined {
  if (principal.kind === 'bootstrap') return undefined;
  const token = findToken(principal.tokenId);
  if (token === undefined) {
    return { kind: 'forbidden', path: 'token', reason: 'the token has been revoked' };
  }
  if (command.kind === 'change') {
    return refusalOfOperations(state, token, command.request.operations);
  }
  if (coversEverything(token)) return undefined;
  const reason = 'only a token for defaults may change tokens';
  return { kind: 'forbidden', path: 'token', reason };
}
