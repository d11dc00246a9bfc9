/** Reads the decisions on waiting requests from the quota owner's response. */
import { ADMITTED_NOW_MS } from './quota-account.js';
import type { TokenResponse } from './quota-messages.js';
import type { PendingTokenRequest, WaitingRequest } from './tenant-allowance.js';

/** The decision on one waiting request. */
export interface CallerDecision {
  readonly request: WaitingRequest;
  /** {@link ADMITTED_NOW_MS}, or the milliseconds until the retry time of a refused request. */
  readonly retryAfterMs: number;
}

/**
 * The decisions on the requests whose deadline hasn't passed, in their order. An owner that doesn't
 * decide on each caller grants tokens in that order.
 *
 * @throws RangeError when the response doesn't fit the request, so that nothing is admitted for which
 * the owner has granted no token.
 */
export function readDecisions(
  response: TokenResponse,
  { waiting, undecided }: PendingTokenRequest,
): CallerDecision[] {
  const { retries } = response;
  if (retries === undefined) return decideInOrder(response, [...undecided]);
  requireFitting(retries, response.granted, waiting.length);
  return waiting
    .map((request, index) => ({ request, retryAfterMs: retries[index] as number }))
    .filter(({ request }) => undecided.has(request));
}

function decideInOrder(
  { granted, retryAfterMs, retrySpacingMs }: TokenResponse,
  waiting: readonly WaitingRequest[],
): CallerDecision[] {
  return waiting.map((request, index) => {
    const isAdmitted = index < granted;
    const refusedMs = retryAfterMs + (index - granted) * retrySpacingMs;
    return { request, retryAfterMs: isAdmitted ? ADMITTED_NOW_MS : refusedMs };
  });
}

function requireFitting(retries: readonly number[], granted: number, waiting: number): void {
  const admitted = retries.filter((retryAfterMs) => retryAfterMs === ADMITTED_NOW_MS).length;
  if (retries.length === waiting && admitted <= granted) return;
  throw new RangeError(
    `expected decisions on ${waiting} requests with at most ${granted} admitted, ` +
      `received ${retries.length} with ${admitted} admitted`,
  );
}
