/** Headers that gateways, callers and replicas exchange about a request. */

/** Header names in lower case. A deployment may replace the defaults with names of its own. */
export interface ExchangeHeaders {
  /** Identifies a caller's request; every response to it repeats the header. */
  readonly requestId: string;
  /** How long the sender waits for the response. Milliseconds. */
  readonly deadline: string;
  /** Proves that a replica produced the response. */
  readonly signature: string;
  /** Id of the only replica that may run the request. */
  readonly targetReplica: string;
  /** In health check responses: id of the replica that responds. */
  readonly replicaId: string;
  /** A replica's load: running requests, waiting requests and slots, separated by commas. */
  readonly load: string;
  /** In health check responses: how long the replica stays cold. Milliseconds. */
  readonly warmup: string;
  /** Set by a replica that did not run the request and never will. */
  readonly notExecuted: string;
  /** Signatures of the parts in a merged response, separated by commas. */
  readonly partSignatures: string;
  /** Number of shards missing from a merged response. */
  readonly missingParts: string;
  /** The caller's API key; not forwarded where the route document names tenants. */
  readonly apiKey: string;
  /**
   * Sent to replicas: name of the tenant that holds the caller's API key. Where the route document
   * names tenants, a caller's own value is discarded.
   */
  readonly tenant: string;
}

/** Header names of a deployment that sets none of its own. */
export const DEFAULT_EXCHANGE_HEADERS: ExchangeHeaders = {
  requestId: 'x-request-id',
  deadline: 'x-driftway-deadline-ms',
  signature: 'x-driftway-signature',
  targetReplica: 'x-driftway-replica',
  replicaId: 'x-driftway-replica-id',
  load: 'x-driftway-load',
  warmup: 'x-driftway-warmup-ms',
  notExecuted: 'x-driftway-not-executed',
  partSignatures: 'x-driftway-parts',
  missingParts: 'x-driftway-missing-parts',
  apiKey: 'x-driftway-api-key',
  tenant: 'x-driftway-tenant',
};
