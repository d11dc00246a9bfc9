/** Failures of one request to an HTTP peer. */
import { DriftwayError, ErrorLabel } from './driftway-error.js';

/** What went wrong with the request. */
export type HttpClientErrorKind =
  | 'connect_failed'
  | 'connection_lost'
  | 'response_truncated'
  | 'response_too_large'
  /** The responses of all peers together took all the memory there is for them. */
  | 'memory_exhausted'
  | 'response_rejected'
  | 'malformed_response'
  | 'aborted';

/** A request that brought no usable response. */
export class HttpClientError extends DriftwayError {
  constructor(
    readonly kind: HttpClientErrorKind,
    /** False only when it is certain that no byte of the request left this process. */
    readonly requestSent: boolean,
    peer: string,
    cause?: unknown,
  ) {
    super(kind.replaceAll('_', ' '), {
      step: 'http request',
      peer,
      labels: requestSent ? [] : [ErrorLabel.NotRun, ErrorLabel.Transient],
      cause,
    });
  }
}
