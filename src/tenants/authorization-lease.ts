/**
 * A gateway accepts API keys only while it holds an authorization lease. A gateway that can't
 * learn of a newer route document must not keep accepting keys which that document revokes.
 */

/** The right of a gateway to accept API keys under the route document that it holds. */
export interface AuthorizationLease {
  /** Whether keys may be accepted now. Read it for each request, because the lease expires with time. */
  readonly isHeld: boolean;
  /** Milliseconds after which a refused caller may find the lease held again. */
  readonly retryAfterMs: number;
}

/** The lease used when no revocation bound is set: keys are accepted under whatever document is held. */
export const UNBOUNDED_LEASE: AuthorizationLease = { isHeld: true, retryAfterMs: 0 };
