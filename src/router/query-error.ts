/** Errors of queries that end without an answer, as returned to the caller. */
import { DriftwayError, ErrorLabel, type ErrorContext } from '../errors/driftway-error.js';
import type { QueryErrorBody, QueryErrorCode } from '../model/query-answer.js';

/** Fields of the response body besides the code, the message and `mayHaveRun`. */
export type QueryErrorDetails = Omit<QueryErrorBody['error'], 'code' | 'message' | 'mayHaveRun'>;

/**
 * End of a query without an answer. `reason` becomes the message of the response body;
 * `status` is one of the HTTP statuses that {@link QueryErrorCode} lists for the code.
 */
export class QueryError extends DriftwayError {
  constructor(
    readonly code: QueryErrorCode,
    readonly status: number,
    readonly reason: string,
    readonly mayHaveRun: boolean,
    readonly details: QueryErrorDetails,
    context: ErrorContext = { step: 'query' },
  ) {
    super(reason, { labels: errorLabels(code, mayHaveRun), ...context });
  }

  /** Body of the HTTP response for this error. */
  toBody(): QueryErrorBody {
    const { code, reason: message, mayHaveRun, details } = this;
    return { error: { code, message, mayHaveRun, ...details } };
  }

  /** A copy with additional details, such as the request id; existing details take precedence. */
  withDetails(details: QueryErrorDetails): QueryError {
    const { code, status, reason, mayHaveRun, step } = this;
    const merged = { ...details, ...this.details };
    return new QueryError(code, status, reason, mayHaveRun, merged, { step });
  }
}

function errorLabels(code: QueryErrorCode, mayHaveRun: boolean): ErrorLabel[] {
  if (code === 'bad_request') return [ErrorLabel.BadInput, ErrorLabel.NotRun];
  return mayHaveRun ? [] : [ErrorLabel.NotRun, ErrorLabel.Transient];
}

/** Error for an invalid request, of which nothing ran; `path` names the invalid field. */
export function badRequest(reason: string, path?: string, status = 400): QueryError {
  const details = path === undefined ? {} : { path };
  return new QueryError('bad_request', status, reason, false, details, { step: 'read request' });
}

/** Error for a refused query, of which nothing ran; `retryAfterMs` tells the caller when to retry. */
export function refusedNotRun(reason: string, retryAfterMs: number, status = 503): QueryError {
  return new QueryError(
    'refused_not_run',
    status,
    reason,
    false,
    { retryAfterMs },
    { step: 'admit' },
  );
}
