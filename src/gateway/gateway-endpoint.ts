/**
 * Handles callers' requests: pins each to the route table in force, finds its route, checks the API
 * key, quarantine and tenant limit, and forwards the request.
 */
import { randomUUID } from 'node:crypto';
import { fingerprintOf } from '../quarantine/request-fingerprint.js';
import type { Route } from '../routes/route-document.js';
import type { RouteTable } from '../routes/route-table.js';
import type { HttpHeaders, HttpRequest, HttpResponse } from '../seams/http.js';
import type { Tenant } from '../tenants/tenant.js';
import { authenticate, KEY_PROBLEM_REASONS, type KeyProblem } from './authentication.js';
import type { CallerRequest } from './caller-request.js';
import { sendTimeout } from './connect-timeouts.js';
import { DRAIN_RETRY_AFTER_MS, STOPPING } from './drain.js';
import { HeldResponses } from './held-responses.js';
import { FanOut, type PlanSources } from './fan-out.js';
import { endToEndHeaders } from './forwarded-headers.js';
import { CALLER_GONE, forwardSingle } from './forward-single.js';
import { GatewayRefusal, QUARANTINED, refuse } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { targetLatencyOf } from './route-latencies.js';
import { SplitChooser } from './split-chooser.js';
import { TableInForce } from './table-in-force.js';
import { withTenant } from './tenant-headers.js';

/** Time reserved for the response to reach the caller before its deadline. Milliseconds. */
const RETURN_MARGIN_MS = 5;

const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

/** The table, route and tenant by which a request is handled. */
interface MatchedRoute {
  readonly table: RouteTable;
  readonly route: Route;
  readonly tenant: Tenant | undefined;
}

/** Optional details of a rejected request. */
interface RejectionDetails {
  readonly fingerprint?: string;
  /** Time until a retry may be admitted. Milliseconds. */
  readonly retryAfterMs?: number;
  /** How long the request waited for a decision on its tenant's limit. Milliseconds. */
  readonly waitedMs?: number;
}

/** Serves callers while the table in force may change; counts and times each request. */
export class GatewayEndpoint {
  private readonly tableInForce: TableInForce;
  /** Number of unanswered requests. */
  inFlight = 0;
  private readonly splitChooser: SplitChooser;

  constructor(
    private readonly context: GatewayContext,
    private readonly planSources: PlanSources,
  ) {
    this.tableInForce = new TableInForce(context.environment.clock);
    this.splitChooser = new SplitChooser(context.environment.random);
  }

  /** The route table in force; undefined before the first one arrives. */
  get table(): RouteTable | undefined {
    return this.tableInForce.current;
  }

  /** Puts a table in force for new requests; requests in flight keep theirs. */
  useTable(table: RouteTable): void {
    this.tableInForce.use(table);
  }

  async handle(request: HttpRequest): Promise<HttpResponse> {
    const { clock } = this.context.environment;
    const receivedAt = clock.now();
    const responses = new HeldResponses();
    this.inFlight += 1;
    try {
      const response = await this.route(request, responses, receivedAt);
      this.context.metrics.requests.inc({ status: String(response.status) });
      return response;
    } finally {
      this.inFlight -= 1;
      responses.release();
      this.context.metrics.latency.observe((clock.now() - receivedAt) / 1_000);
    }
  }

  private async route(
    request: HttpRequest,
    responses: HeldResponses,
    receivedAt: number,
  ): Promise<HttpResponse> {
    if (this.table === undefined)
      await this.tableInForce.waitForFirst(this.callerTimeoutMs(request));
    // Not the awaited table: a newer one may be in force, to which the lease applies.
    const { table } = this;
    if (request.signal.aborted) {
      return this.reject(request, GatewayRefusal.NotRun, CALLER_GONE);
    }
    if (table === undefined) {
      return this.reject(request, GatewayRefusal.NoRoutes, 'no route document yet');
    }
    const host = request.headers['host'];
    if (host === undefined) {
      return this.reject(request, GatewayRefusal.BadRequest, 'the Host header is missing');
    }
    if (request.body.length > table.limits.maximumBodyBytes) {
      return this.reject(request, GatewayRefusal.TooLarge, 'the body is too long');
    }
    const route = table.match(host, request.path);
    if (route === undefined) {
      return this.reject(request, GatewayRefusal.NoRoute, 'no route fits');
    }
    const authentication = authenticate(request, table, route, this.context.headers.apiKey);
    if ('problem' in authentication) return this.rejectKey(request, authentication.problem);
    const { tenant } = authentication;
    const match = { table, route, tenant };
    const callerRequest = this.toCallerRequest(request, match, responses, receivedAt);
    const { fingerprint } = callerRequest;
    if (this.context.crashGuard.isQuarantined(fingerprint)) {
      this.context.crashGuard.recordRefusal();
      return this.reject(request, GatewayRefusal.Quarantined, QUARANTINED, { fingerprint });
    }
    if (!this.context.drain.admits(callerRequest)) return this.rejectStopping(request);
    if (tenant === undefined) return this.forward(callerRequest);
    return this.forwardWithinLimits(request, callerRequest, tenant);
  }

  /** Forwards a tenant's request if the authorization lease is held and the tenant's limit admits it. */
  private async forwardWithinLimits(
    request: HttpRequest,
    callerRequest: CallerRequest,
    tenant: Tenant,
  ): Promise<HttpResponse> {
    const { lease, quota } = this.context;
    if (!lease.isHeld) {
      const reason = 'API keys could not be confirmed lately';
      return this.reject(request, GatewayRefusal.KeysUnconfirmed, reason, {
        retryAfterMs: lease.retryAfterMs,
      });
    }
    const { receivedAt, route, signal, fingerprint } = callerRequest;
    const decideBy = receivedAt + sendTimeout(targetLatencyOf(route));
    const taken = quota.take(tenant, decideBy, fingerprint);
    const decision = taken instanceof Promise ? await taken : taken;
    if (!decision.isAdmitted) {
      const { retryAfterMs, isUndecided } = decision;
      const reason =
        isUndecided === true
          ? 'no controller decided on the limit of the tenant in time'
          : 'the tenant has reached its limit';
      const waitedMs = Math.round(this.context.environment.clock.now() - receivedAt);
      return this.reject(request, GatewayRefusal.RateLimited, reason, { retryAfterMs, waitedMs });
    }
    if (signal.aborted) {
      quota.returnToken(tenant, this.context.environment.clock.now());
      return this.reject(request, GatewayRefusal.NotRun, CALLER_GONE);
    }
    if (!this.context.drain.admits(callerRequest)) {
      quota.returnToken(tenant, this.context.environment.clock.now());
      return this.rejectStopping(request);
    }
    const takenAt = this.context.environment.clock.now();
    const response = await this.forward(callerRequest);
    if (this.isCertainlyNotRun(response)) quota.returnToken(tenant, takenAt);
    return response;
  }

  /** Whether this gateway itself produced the response, and it states that the request was not run. */
  private isCertainlyNotRun({ status, headers = {} }: HttpResponse): boolean {
    const isRefusal = status === HTTP_TOO_MANY_REQUESTS || status === HTTP_UNAVAILABLE;
    return isRefusal && headers[this.context.headers.signature] === undefined;
  }

  private rejectStopping(request: HttpRequest): HttpResponse {
    this.context.drain.refused += 1;
    return this.reject(request, GatewayRefusal.NotRun, STOPPING, {
      retryAfterMs: DRAIN_RETRY_AFTER_MS,
    });
  }

  private rejectKey(request: HttpRequest, problem: KeyProblem): HttpResponse {
    this.context.metrics.keyRefusals.inc({ reason: problem });
    return this.reject(request, GatewayRefusal.NotAuthenticated, KEY_PROBLEM_REASONS[problem]);
  }

  private reject(
    request: HttpRequest,
    refusal: GatewayRefusal,
    reason: string,
    { fingerprint, retryAfterMs, waitedMs }: RejectionDetails = {},
  ): HttpResponse {
    const response = refuse(refusal, reason, retryAfterMs);
    this.context.metrics.refusals.inc({ reason: refusal });
    this.context.decisions.logNotForwarded({
      request,
      requestId: request.headers[this.context.headers.requestId],
      fingerprint,
      refusal,
      reason,
      status: response.status,
      waitedMs,
      routeVersion: this.table?.version,
    });
    return response;
  }

  private toCallerRequest(
    request: HttpRequest,
    { table, route, tenant }: MatchedRoute,
    responses: HeldResponses,
    receivedAt: number,
  ): CallerRequest {
    const { requestId } = this.context.headers;
    const { method, target, body } = request;
    const headers = this.headersToSend(request, table, tenant);
    const id = request.headers[requestId] ?? randomUUID();
    const usableMs = this.callerTimeoutMs(request) - RETURN_MARGIN_MS;
    return {
      id,
      method,
      target,
      headers: { ...headers, [requestId]: id },
      body,
      // Uses the forwarded headers only: a gateway that gathers for this one sees no others.
      fingerprint: fingerprintOf({ method, target, headers, body, tenant: tenant?.name }),
      signal: request.signal,
      responses,
      table,
      route,
      tenant,
      receivedAt,
      deadline: receivedAt + Math.max(1, Math.min(route.timeoutMs, usableMs)),
    };
  }

  private headersToSend(
    request: HttpRequest,
    { tenants }: RouteTable,
    tenant: Tenant | undefined,
  ): HttpHeaders {
    const headers = endToEndHeaders(request.headers);
    return tenants === undefined ? headers : withTenant(headers, this.context.headers, tenant);
  }

  /** Timeout from the caller's deadline header; Infinity when absent or invalid. Milliseconds. */
  private callerTimeoutMs(request: HttpRequest): number {
    const stated = Number(request.headers[this.context.headers.deadline] ?? Infinity);
    return stated > 0 ? stated : Infinity;
  }

  private forward(request: CallerRequest): Promise<HttpResponse> {
    const { service, split, shards } = request.route;
    if (shards !== undefined) {
      return new FanOut(this.context, request, shards, this.planSources).run();
    }
    const chosen = split === undefined ? service : this.splitChooser.choose(request.route, split);
    return forwardSingle(this.context, request, chosen ?? '');
  }
}
