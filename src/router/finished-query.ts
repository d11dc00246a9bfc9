/** A query that has ended, with the HTTP response to send to its caller. */
import type { HttpResponse } from '../seams/http.js';

/** The response, and the facts that metrics and resends need. */
export interface FinishedQuery {
  readonly response: HttpResponse;
  /** `answered`, or the error code. */
  readonly outcome: string;
  /** Whether any back end may have started the request. */
  readonly mayHaveRun: boolean;
}
