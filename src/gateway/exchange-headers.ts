/** The headers by which gateway, callers and replicas tell each other about a request. */

/** Names in lower case. The defaults are the product's own; a deployment may speak others. */
export interface ExchangeHeaders {
  /** Names a caller's request; every answer to it carries it back. */
  readonly requestId: string;
  /** How long the sender waits for the answer. Milliseconds. */
  readonly deadline: string;
  /** Proof that a replica made the answer. */
  readonly signature: string;
  /** The only replica that may run the request. */
  readonly targetReplica: string;
  /** A replica's load: requests running, requests waiting, slots; joined by commas. */
  readonly load: string;
  /** In health answers: how long the replica stays cold. Milliseconds. */
  readonly warmup: string;
  /** The replica did not run the request and never will. */
  readonly notExecuted: string;
  /** Signatures of the parts that a merged answer holds, joined by commas. */
  readonly partSignatures: string;
  /** How many shards a merged answer lacks. */
  readonly missingParts: string;
  /** The caller's API key; never sent on where the route document names tenants. */
  readonly apiKey: string;
  /**
   * To replicas: name of the tenant whose key the caller gave; never taken from a caller where the
   * route document names tenants.
   */
  readonly tenant: string;
}

export const DEFAULT_EXCHANGE_HEADERS: ExchangeHeaders = {
  requestId: 'x-request-id',
  deadline: 'x-driftway-deadline-ms',
  signature: 'x-driftway-signature',
  targetReplica: 'x-driftway-replica',
  load: 'x-driftway-load',
  warmup: 'x-driftway-warmup-ms',
  notExecuted: 'x-driftway-not-executed',
  partSignatures: 'x-driftway-parts',
  missingParts: 'x-driftway-missing-parts',
  apiKey: 'x-driftway-api-key',
  tenant: 'x-driftway-tenant',
};
