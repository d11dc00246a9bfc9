/**
 * Switches that break one promise each, so that an auditor's test can show that
 * it would notice. Reachable from code only: no settings file, flag or request
 * can set one. Every switch is read in exactly one decision.
 */

/** All switches; each is false in production. */
export interface RouterFaults {
  /** Asks each shard for the newest snapshot its replica holds, not for the pinned one. */
  readonly mergeAcrossSnapshots: boolean;
  /** States missing shards as reached. */
  readonly claimUnreachedShard: boolean;
  /** Takes replies whose echoed identifiers do not match. */
  readonly skipReplyMatching: boolean;
  /** Says "not run" of requests that may have been run. */
  readonly claimNotRunAfterSending: boolean;
  /** Retries not repeatable requests that may have been run. */
  readonly retryNotRepeatable: boolean;
  /** Sends new work to replicas that are draining or gone. */
  readonly ignoreDrain: boolean;
  /** A planned stop cancels the requests in flight. */
  readonly cutInFlightAtStop: boolean;
}

/** What production runs with. */
export const NO_ROUTER_FAULTS: RouterFaults = {
  mergeAcrossSnapshots: false,
  claimUnreachedShard: false,
  skipReplyMatching: false,
  claimNotRunAfterSending: false,
  retryNotRepeatable: false,
  ignoreDrain: false,
  cutInFlightAtStop: false,
};
