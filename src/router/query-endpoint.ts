/** Serves `POST /v1/services/{service}/query`: reads, finds resends, runs, answers. */
import type { Logger } from '../observability/logger.js';
import type { HttpRequest, HttpResponse } from '../seams/http.js';
import { subtractAnswerReserve } from './answer-reserve.js';
import type { FinishedQuery } from './finished-query.js';
import { answerResponse, errorResponse } from './http-responses.js';
import type { InFlightQueries } from './in-flight-queries.js';
import type { OutcomeStore } from './outcome-store.js';
import type { QueryContext } from './query-context.js';
import { badRequest, QueryError, type QueryErrorDetails } from './query-error.js';
import { QueryPipeline } from './query-pipeline.js';
import { parseQueryRequest, type ParsedQuery } from './query-parser.js';
import { ResendResolver } from './resend-resolver.js';
import type { RouterContext } from './router-context.js';
import { notReadyError, type RouterReadiness } from './router-readiness.js';
import type { ServiceDirectory } from './service-directory.js';
import type { ServiceRuntime } from './service-runtime.js';

const MILLISECONDS_PER_SECOND = 1_000;
const UNKNOWN_SERVICE_LABEL = 'unknown';

/** The parts of a router that serve a query. */
export interface QueryEndpointOptions {
  readonly router: RouterContext;
  readonly directory: ServiceDirectory;
  readonly readiness: RouterReadiness;
  readonly outcomeStore: OutcomeStore;
  readonly inFlight: InFlightQueries;
  readonly logger: Logger;
}

/** Handles queries; never throws. */
export class QueryEndpoint {
  private readonly resends: ResendResolver;

  constructor(private readonly options: QueryEndpointOptions) {
    this.resends = new ResendResolver(options.outcomeStore, options.router.environment.clock);
  }

  /** One query, from its HTTP request to its HTTP response. */
  async handle(http: HttpRequest, serviceName: string): Promise<HttpResponse> {
    const { clock } = this.options.router.environment;
    const { metrics } = this.options.router;
    const receivedAt = clock.now();
    metrics.queriesInFlight.inc();
    const finished = await this.answerQuery(http, serviceName, receivedAt);
    metrics.queriesInFlight.dec();
    const isKnownService = this.options.directory.get(serviceName) !== undefined;
    const service = isKnownService ? serviceName : UNKNOWN_SERVICE_LABEL;
    const outcome = http.signal.aborted ? 'caller_gone' : finished.outcome;
    metrics.queries.inc({ service, outcome });
    metrics.duration.observe({ service }, (clock.now() - receivedAt) / MILLISECONDS_PER_SECOND);
    return finished.response;
  }

  private async answerQuery(
    http: HttpRequest,
    serviceName: string,
    receivedAt: number,
  ): Promise<FinishedQuery> {
    let details: QueryErrorDetails = { service: serviceName };
    try {
      const parsedQuery = parseQueryRequest(http.body);
      details = { ...details, requestId: parsedQuery.request.requestId };
      const earlierOutcome = this.resends.find(serviceName, parsedQuery);
      if (earlierOutcome !== undefined) {
        this.options.router.metrics.joinedResends.inc();
        return await earlierOutcome;
      }
      const service = this.findService(serviceName);
      const query = this.createContext(service, parsedQuery, receivedAt);
      return await this.run(query, http.signal);
    } catch (error) {
      return this.finishError(error, details);
    }
  }

  /** @throws QueryError when the service does not exist or takes no query now. */
  private findService(name: string): ServiceRuntime {
    const { directory, readiness, router } = this.options;
    const service = directory.get(name);
    const reason = readiness.queryRefusalReason(service);
    if (reason !== undefined) {
      router.metrics.refusals.inc({ reason });
      throw notReadyError(reason);
    }
    if (service === undefined) throw badRequest('there is no such service', 'service', 404);
    return service;
  }

  private createContext(
    service: ServiceRuntime,
    { request, queryText }: ParsedQuery,
    receivedAt: number,
  ): QueryContext {
    const { settings } = service;
    const settingsStale = !this.options.readiness.checkFreshness();
    const deadline = Math.min(
      request.deadlineMs ?? settings.defaultDeadlineMs,
      settings.maximumDeadlineMs,
    );
    return {
      request,
      service,
      settingsStale,
      backendRequestId: this.options.router.identifiers.makeUnique(request.requestId),
      queryText,
      requiredCoverage: Math.max(request.requiredCoverage ?? 0, settings.requiredCoverage),
      receivedAt,
      deadlineAt: receivedAt + subtractAnswerReserve(deadline),
    };
  }

  /**
   * A not repeatable request goes on when its caller is gone, so that a resend
   * learns its outcome.
   */
  private run(query: QueryContext, callerSignal: AbortSignal): Promise<FinishedQuery> {
    const { inFlight, outcomeStore: ledger } = this.options;
    const { request, service } = query;
    if (request.repeatable) {
      return inFlight.track(callerSignal, (signal) => this.execute(query, signal));
    }
    return ledger.run(service.definition.name, query, () =>
      inFlight.track(undefined, (signal) => this.execute(query, signal)),
    );
  }

  private async execute(query: QueryContext, signal: AbortSignal): Promise<FinishedQuery> {
    try {
      const text = await new QueryPipeline(this.options.router, query).run(signal);
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
    const queryError = error instanceof QueryError ? error : this.createUnexpectedError(error);
    const complete = queryError.withDetails(details);
    const { code, mayHaveRun } = complete;
    return { response: errorResponse(complete), outcome: code, mayHaveRun };
  }

  /** A fault of the router itself; what it had sent by then is not known. */
  private createUnexpectedError(error: unknown): QueryError {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.error('query failed unexpectedly', { reason });
    return new QueryError('failed', 502, 'the router failed', true, {}, { step: 'query' });
  }
}
