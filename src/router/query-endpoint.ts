/** Serves `POST /v1/services/{service}/query`: reads, finds resends, runs, answers. */
import type { Logger } from '../observability/logger.js';
import type { HttpRequest, HttpResponse } from '../seams/http.js';
import { withoutReserve } from './answer-reserve.js';
import type { FinishedQuery } from './finished-query.js';
import { answerResponse, errorResponse } from './http-responses.js';
import type { InFlightQueries } from './in-flight-queries.js';
import type { OutcomeLedger } from './outcome-ledger.js';
import type { QueryContext } from './query-context.js';
import { badRequest, QueryError, type QueryErrorDetails } from './query-error.js';
import { QueryPipeline } from './query-pipeline.js';
import { readQueryRequest, type ReadQuery } from './query-reader.js';
import { Resends } from './resends.js';
import type { RouterContext } from './router-context.js';
import { notReadyError, type RouterReadiness } from './router-readiness.js';
import type { ServiceDirectory } from './service-directory.js';
import type { ServiceRuntime } from './service-runtime.js';

const MILLISECONDS_PER_SECOND = 1_000;
const UNKNOWN_SERVICE = 'unknown';

/** The parts of a router that serve a query. */
export interface QueryEndpointParts {
  readonly router: RouterContext;
  readonly directory: ServiceDirectory;
  readonly readiness: RouterReadiness;
  readonly ledger: OutcomeLedger;
  readonly inFlight: InFlightQueries;
  readonly logger: Logger;
}

/** Handles queries; never throws. */
export class QueryEndpoint {
  private readonly resends: Resends;

  constructor(private readonly parts: QueryEndpointParts) {
    this.resends = new Resends(parts.ledger, parts.router.environment.clock);
  }

  /** One query, from its HTTP request to its HTTP response. */
  async handle(http: HttpRequest, serviceName: string): Promise<HttpResponse> {
    const { clock } = this.parts.router.environment;
    const { metrics } = this.parts.router;
    const receivedAt = clock.now();
    metrics.queriesInFlight.inc();
    const finished = await this.answer(http, serviceName, receivedAt);
    metrics.queriesInFlight.dec();
    const known = this.parts.directory.get(serviceName) !== undefined;
    const service = known ? serviceName : UNKNOWN_SERVICE;
    const outcome = http.signal.aborted ? 'caller_gone' : finished.outcome;
    metrics.queries.inc({ service, outcome });
    metrics.duration.observe({ service }, (clock.now() - receivedAt) / MILLISECONDS_PER_SECOND);
    return finished.response;
  }

  private async answer(
    http: HttpRequest,
    serviceName: string,
    receivedAt: number,
  ): Promise<FinishedQuery> {
    let details: QueryErrorDetails = { service: serviceName };
    try {
      const read = readQueryRequest(http.body);
      details = { ...details, requestId: read.request.requestId };
      const earlier = this.resends.find(serviceName, read);
      if (earlier !== undefined) {
        this.parts.router.metrics.joinedResends.inc();
        return await earlier;
      }
      const service = this.findService(serviceName);
      const query = this.createContext(service, read, receivedAt);
      return await this.run(query, http.signal);
    } catch (error) {
      return this.finishError(error, details);
    }
  }

  /** @throws QueryError when the service does not exist or takes no query now. */
  private findService(name: string): ServiceRuntime {
    const { directory, readiness, router } = this.parts;
    const service = directory.get(name);
    const reason = readiness.reasonFor(service);
    if (reason !== undefined) {
      router.metrics.refusals.inc({ reason });
      throw notReadyError(reason);
    }
    if (service === undefined) throw badRequest('there is no such service', 'service', 404);
    return service;
  }

  private createContext(
    service: ServiceRuntime,
    { request, queryText }: ReadQuery,
    receivedAt: number,
  ): QueryContext {
    const { settings } = service;
    const settingsStale = !this.parts.readiness.checkFreshness();
    const deadline = Math.min(
      request.deadlineMs ?? settings.defaultDeadlineMs,
      settings.maximumDeadlineMs,
    );
    return {
      request,
      service,
      settingsStale,
      backendRequestId: this.parts.router.identifiers.qualify(request.requestId),
      queryText,
      requiredCoverage: Math.max(request.requiredCoverage ?? 0, settings.requiredCoverage),
      receivedAt,
      deadlineAt: receivedAt + withoutReserve(deadline),
    };
  }

  /**
   * A not repeatable request goes on when its caller is gone, so that a resend
   * learns its outcome.
   */
  private run(query: QueryContext, callerGone: AbortSignal): Promise<FinishedQuery> {
    const { inFlight, ledger } = this.parts;
    const { request, service } = query;
    if (request.repeatable) {
      return inFlight.track(callerGone, (signal) => this.execute(query, signal));
    }
    return ledger.run(service.definition.name, query, () =>
      inFlight.track(undefined, (signal) => this.execute(query, signal)),
    );
  }

  private async execute(query: QueryContext, signal: AbortSignal): Promise<FinishedQuery> {
    try {
      const text = await new QueryPipeline(this.parts.router, query).run(signal);
      return { response: answerResponse(text), outcome: 'answered', mayHaveRun: true };
    } catch (error) {
      const { definition, revision } = query.service;
      return this.finishError(error, {
        service: definition.name,
        requestId: query.request.requestId,
        settingsRevision: revision,
      });
    }
  }

  private finishError(error: unknown, details: QueryErrorDetails): FinishedQuery {
    const typed = error instanceof QueryError ? error : this.unexpected(error);
    const complete = typed.with(details);
    const { code, mayHaveRun } = complete;
    return { response: errorResponse(complete), outcome: code, mayHaveRun };
  }

  /** A fault of the router itself; what it had sent by then is not known. */
  private unexpected(error: unknown): QueryError {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.error('query failed unexpectedly', { reason });
    return new QueryError('failed', 502, 'the router failed', true, {}, { step: 'query' });
  }
}
