/** Why a hedge was not sent. The values are log fields and metric labels. */
export enum HedgeRefusal {
  /** Hedging is switched off, or the request may not be repeated. */
  NotPermitted = 'not_permitted',
  /** The request has used the attempts that its route allows. */
  NoAttemptsLeft = 'no_attempts_left',
  /** The request is suspected to end replicas. */
  Suspected = 'suspected',
  /** No other replica of the service can take the request now. */
  NoReplica = 'no_replica',
  /** The root has not granted further attempts yet. */
  NotGranted = 'not_granted',
  /** The gateway is stopping, and the answer would come too late. */
  Stopping = 'stopping',
  /** The budget of extra attempts is used up. */
  NoBudget = 'no_budget',
}
