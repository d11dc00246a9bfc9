/** A query that ends without an answer, as the caller is told. */
import { DriftwayError, ErrorLabel, type ErrorContext } from '../errors/driftway-error.js';
import type { QueryErrorBody, QueryErrorCode } from '../model/query-answer.js';

/** What the caller is told besides the code and the message. */
export type QueryErrorDetails = Omit<QueryErrorBody['error'], 'code' | 'message' | 'mayHaveRun'>;

/** Typed end of a query. Its HTTP status says the same as its code. */
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

  /** Body of the HTTP response. */
  toBody(): QueryErrorBody {
    const { code, reason: message, mayHaveRun, details } = this;
    return { error: { code, message, mayHaveRun, ...details } };
  }

  /** The same end with more details, such as the request id. */
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

/** The request is wrong; nothing was run. */
export function badRequest(reason: string, path?: string, status = 400): QueryError {
  const details = path === undefined ? {} : { path };
  return new QueryError('bad_request', status, reason, false, details, { step: 'read request' });
}

/** Nothing was run; the caller may come back after `retryAfterMs` milliseconds. */
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
