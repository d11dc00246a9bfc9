/** Responses that the gateway itself produces when it refuses or gives up a request. */
import type { HttpResponse } from '../seams/http.js';

/** Error code of a response that the gateway itself produces. */
export enum GatewayRefusal {
  /** The gateway has received no route document yet. Not run. */
  NoRoutes = 'no_routes',
  /** No route matches the host and path. */
  NoRoute = 'no_route',
  /** The request is malformed. */
  BadRequest = 'bad_request',
  /** The body is longer than the route document allows. */
  TooLarge = 'too_large',
  /** The request carries no API key that a tenant holds. Not run. */
  NotAuthenticated = 'not_authenticated',
  /** The gateway does not hold the authorization lease that accepting API keys requires. Not run. */
  KeysUnconfirmed = 'keys_unconfirmed',
  /** The tenant has exceeded its request limit. Not run. */
  RateLimited = 'rate_limited',
  /** No replica could accept the request in time. Not run. */
  NotRun = 'not_run',
  /** The request is quarantined because replicas crash while they run it. Not run. */
  Quarantined = 'quarantined',
  /** A replica may have run the request, and no usable response arrived. */
  Failed = 'failed',
  /** A replica may have run the request, and the deadline passed. */
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
  // Concerns this request alone; a 503 would suggest that the gateway or the service is unavailable.
  [GatewayRefusal.Quarantined]: 429,
  [GatewayRefusal.Failed]: 502,
  [GatewayRefusal.TimedOut]: 504,
};

/** Default `retry-after` of refusals whose request was not run. Seconds. */
const RETRY_AFTER_S: Partial<Record<GatewayRefusal, string>> = {
  [GatewayRefusal.NoRoutes]: '1',
  [GatewayRefusal.NotRun]: '0.5',
  // An operator has to review the quarantine first.
  [GatewayRefusal.Quarantined]: '60',
};

/** Reason of a quarantined request; operators find the request by this text and its fingerprint. */
export const QUARANTINED = 'replicas end under this request';

const MILLISECONDS_PER_SECOND = 1_000;
/** `retry-after` is sent in hundredths of a second. */
const RETRY_AFTER_STEP_MS = 10;
const RETRY_AFTER_DECIMALS = 2;

/** Rounded up: a caller that returns before the time that was meant is refused again. */
function formatSeconds(milliseconds: number): string {
  const roundedMs = Math.ceil(milliseconds / RETRY_AFTER_STEP_MS) * RETRY_AFTER_STEP_MS;
  return (roundedMs / MILLISECONDS_PER_SECOND).toFixed(RETRY_AFTER_DECIMALS);
}

/** Builds the response for a refusal; `retryAfterMs` overrides the refusal's default `retry-after`. */
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
 * Builds the response to a request that no replica has run or will run. `reason` is why the gateway
 * gave it up; `retryAfterMs` is set where the time at which a replica has room is known.
 */
export function refuseNotRun(reason: string, retryAfterMs?: number): HttpResponse {
  if (reason === QUARANTINED) return refuse(GatewayRefusal.Quarantined, reason);
  return refuse(GatewayRefusal.NotRun, reason, retryAfterMs);
}
