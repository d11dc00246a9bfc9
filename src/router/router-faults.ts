/**
 * Fault injection for tests: each switch violates one guarantee, so that a test can prove
 * that its checks detect the violation. Only code can set a switch: no settings file, flag
 * or request can. Every switch is read in exactly one decision.
 */

/** All switches; each is false in production. */
export interface RouterFaults {
  /** Requests from each shard the newest snapshot its replica holds, instead of the plan's. */
  readonly mergeAcrossSnapshots: boolean;
  /** Lists missing shards as reached in the coverage. */
  readonly claimUnreachedShard: boolean;
  /** Accepts replies whose echoed identifiers do not match. */
  readonly skipReplyMatching: boolean;
  /** Reports requests that may have run as not run. */
  readonly claimNotRunAfterSending: boolean;
  /** Retries requests that are not repeatable even when they may have run. */
  readonly retryNotRepeatable: boolean;
  /** Sends new attempts to replicas that are draining or gone. */
  readonly ignoreDrain: boolean;
  /** A planned stop cancels the queries in flight. */
  readonly cutInFlightAtStop: boolean;
}

/** No fault injected; production runs with it. */
export const NO_ROUTER_FAULTS: RouterFaults = {
  mergeAcrossSnapshots: false,
  claimUnreachedShard: false,
  skipReplyMatching: false,
  claimNotRunAfterSending: false,
  retryNotRepeatable: false,
  ignoreDrain: false,
  cutInFlightAtStop: false,
};
