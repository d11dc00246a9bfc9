/**
 * The right of a gateway to accept API keys by the route document that it holds. A gateway
 * that cannot learn of a newer document must not go on accepting keys that it takes away.
 */

/** See the module comment. */
export interface AuthorizationLease {
  /** Whether keys may be accepted now. Read anew for each request: it ends by time alone. */
  readonly isHeld: boolean;
  /** When a refused caller may find it held again. Milliseconds. */
  readonly retryAfterMs: number;
}

/** Where revocations are bound by no time: keys are accepted by whatever document is held. */
export const UNBOUNDED_LEASE: AuthorizationLease = { isHeld: true, retryAfterMs: 0 };
