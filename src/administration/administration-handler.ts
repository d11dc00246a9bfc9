/** The administration API as an HTTP handler. */
import type { HttpHandler, HttpRequest, HttpResponse } from '../seams/http.js';
import { coversEverything } from '../settings/authorize.js';
import { MAXIMUM_COMMAND_BYTES } from '../settings/configuration-command.js';
import type { Principal } from '../settings/principal.js';
import { AdministrationContext } from './administration-context.js';
import type { AdministrationDependencies } from './administration-dependencies.js';
import { AdministrationError } from './administration-error.js';
import { AdministrationMetrics } from './administration-metrics.js';
import { Authenticator } from './authentication.js';
import { parseCall } from './parse-call.js';
import { matchPath, type Route } from './route.js';
import { ROUTES } from './routes.js';

const JSON_HEADERS = { 'content-type': 'application/json', 'cache-control': 'no-store' };
const MILLISECONDS_PER_SECOND = 1_000;

/** A route with the values of its path's variable parts. */
interface MatchedRoute {
  readonly route: Route;
  readonly parameters: Readonly<Record<string, string>>;
}

function findRoute(request: HttpRequest): MatchedRoute {
  let pathKnown = false;
  for (const route of ROUTES) {
    const parameters = matchPath(route.path, request.path);
    if (parameters === undefined) continue;
    if (route.method === request.method) return { route, parameters };
    pathKnown = true;
  }
  const code = pathKnown ? 'method_not_allowed' : 'not_found';
  throw new AdministrationError(code, 'find endpoint', `${request.method} ${request.path}`);
}

function toError(error: unknown, method: string): AdministrationError {
  if (error instanceof AdministrationError) return error;
  const reason = error instanceof Error ? error.message : String(error);
  const changed = method === 'GET' ? 'no' : 'unknown';
  return new AdministrationError('internal', 'handle request', reason, { changed, cause: error });
}

function errorResponse(error: AdministrationError): HttpResponse {
  const headers: Record<string, string> = { ...JSON_HEADERS };
  const { retryAfterMs } = error.details;
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND));
  }
  if (error.code === 'unauthorized') headers['www-authenticate'] = 'Bearer';
  return { status: error.status, headers, body: JSON.stringify(error.toBody()) };
}

class AdministrationHandler {
  private readonly context: AdministrationContext;
  private readonly authenticator: Authenticator;
  private readonly metrics: AdministrationMetrics;
  private readonly maximumBodyBytes: number;
  /** Operations whose last request failed in a way that was not foreseen. */
  private readonly failing = new Set<string>();

  constructor(private readonly dependencies: AdministrationDependencies) {
    this.context = new AdministrationContext(dependencies);
    this.metrics = new AdministrationMetrics(dependencies);
    this.maximumBodyBytes = dependencies.maximumBodyBytes ?? MAXIMUM_COMMAND_BYTES;
    this.authenticator = new Authenticator(
      dependencies.machine,
      dependencies.bootstrapTokenHash,
      () => this.context.catchUp(),
    );
  }

  async handle(request: HttpRequest): Promise<HttpResponse> {
    let operation = 'unknown';
    try {
      const matched = findRoute(request);
      operation = matched.route.operationId;
      const result = await this.run(matched, request);
      this.metrics.count(operation, 'ok');
      this.failing.delete(operation);
      return { status: 200, headers: JSON_HEADERS, body: JSON.stringify(result) };
    } catch (cause) {
      const error = toError(cause, request.method);
      this.metrics.count(operation, error.code);
      if (error.code === 'internal') this.logFailure(operation, error.message);
      return errorResponse(error);
    }
  }

  /** One line when an operation begins to fail; the counter tells of every failure. */
  private logFailure(operation: string, reason: string): void {
    if (this.failing.has(operation)) return;
    this.failing.add(operation);
    this.dependencies.logger.error('administration requests fail', { operation, reason });
  }

  private async run({ route, parameters }: MatchedRoute, request: HttpRequest): Promise<unknown> {
    const principal = await this.authenticator.authenticate(request.headers);
    this.requireAccess(route, principal);
    const { query, body } = parseCall(route, request, this.maximumBodyBytes);
    const { signal } = request;
    return route.handle({ context: this.context, principal, parameters, query, body, signal });
  }

  /** For what is not decided when a command is applied: reads of tokens and changes of members. */
  private requireAccess(route: Route, principal: Principal): void {
    if (route.access === 'any_token' || principal.kind === 'bootstrap') return;
    const token = this.dependencies.machine.token(principal.tokenId);
    if (token !== undefined && coversEverything(token)) return;
    const reason = 'this needs a token for defaults, the whole tree';
    throw new AdministrationError('forbidden', 'authorize', reason);
  }
}

/** Serves every path under `/v1/`; the caller routes other paths elsewhere. */
export function createAdministrationHandler(dependencies: AdministrationDependencies): HttpHandler {
  const handler = new AdministrationHandler(dependencies);
  return (request) => handler.handle(request);
}
