/** The answers that the gateway gives by itself. */
import type { HttpResponse } from '../seams/http.js';

/** Why the gateway itself answers. */
export enum GatewayRefusal {
  /** No route document has arrived yet. Not run. */
  NoRoutes = 'no_routes',
  /** No route fits the host and path. */
  NoRoute = 'no_route',
  /** The request cannot be taken as it is. */
  BadRequest = 'bad_request',
  /** The body is longer than the route document allows. */
  TooLarge = 'too_large',
  /** It carries no API key that a tenant holds. Not run. */
  NotAuthenticated = 'not_authenticated',
  /** The gateway may not accept API keys at present. Not run. */
  KeysUnconfirmed = 'keys_unconfirmed',
  /** Its tenant has sent more than its limit. Not run. */
  RateLimited = 'rate_limited',
  /** No replica could take it in time. Not run. */
  NotRun = 'not_run',
  /** Replicas end under it: it is sent to none. Not run. */
  Quarantined = 'quarantined',
  /** A replica may have run it, and no usable answer came. */
  Failed = 'failed',
  /** A replica may have run it, and the time is up. */
  TimedOut = 'timed_out',
}

const STATUSES: Readonly<Record<GatewayRefusal, number>> = {
  [GatewayRefusal.NoRoutes]: 503,
  [GatewayRefusal.NoRoute]: 404,
  [GatewayRefusal.BadRequest]: 400,
  [GatewayRefusal.TooLarge]: 413,
  [GatewayRefusal.NotAuthenticated]: 401,
  [GatewayRefusal.KeysUnconfirmed]: 503,
  [GatewayRefusal.RateLimited]: 429,
  [GatewayRefusal.NotRun]: 503,
  // Of this request alone: a 503 would speak against the gateway or the service.
  [GatewayRefusal.Quarantined]: 429,
  [GatewayRefusal.Failed]: 502,
  [GatewayRefusal.TimedOut]: 504,
};

/** When a caller whose request was not run may come back. Seconds. */
const RETRY_AFTER_S: Partial<Record<GatewayRefusal, string>> = {
  [GatewayRefusal.NoRoutes]: '1',
  [GatewayRefusal.NotRun]: '0.5',
  // An operator has to look at it first.
  [GatewayRefusal.Quarantined]: '60',
};

/** Reason of a refusal by the quarantine; operators find the request by it and its fingerprint. */
export const QUARANTINED = 'replicas end under this request';

const MILLISECONDS_PER_SECOND = 1_000;
/** Digits of a fraction of a second that callers are told: hundredths. */
const RETRY_AFTER_DECIMALS = 2;

function formatSeconds(milliseconds: number): string {
  return (milliseconds / MILLISECONDS_PER_SECOND).toFixed(RETRY_AFTER_DECIMALS);
}

/** The answer for a refusal; `retryAfterMs` where it is known when the caller may come back. */
export function refuse(
  refusal: GatewayRefusal,
  reason: string,
  retryAfterMs?: number,
): HttpResponse {
  const retryAfter =
    retryAfterMs === undefined ? RETRY_AFTER_S[refusal] : formatSeconds(retryAfterMs);
  return {
    status: STATUSES[refusal],
    headers: {
      'content-type': 'application/json',
      ...(retryAfter === undefined ? {} : { 'retry-after': retryAfter }),
    },
    body: JSON.stringify({ error: { code: refusal, message: reason } }),
  };
}

/**
 * The answer to a request that no replica has run or will run, by why it was given up;
 * `retryAfterMs` where it is known when there is room for it.
 */
export function refuseNotRun(reason: string, retryAfterMs?: number): HttpResponse {
  if (reason === QUARANTINED) return refuse(GatewayRefusal.Quarantined, reason);
  return refuse(GatewayRefusal.NotRun, reason, retryAfterMs);
}
