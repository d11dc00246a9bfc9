/** A query that has ended, as it is written to the caller. */
import type { HttpResponse } from '../seams/http.js';

/** The response and what a resend has to know. */
export interface FinishedQuery {
  readonly response: HttpResponse;
  /** `answered`, or the code of the error. */
  readonly outcome: string;
  /** Whether any back end may have begun to run it. */
  readonly mayHaveRun: boolean;
}
