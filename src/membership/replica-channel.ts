/**
 * A router's connections to one replica. Requests that must not be sent over a stale keep-alive
 * connection use separate connections, so that each kind stays within its share of the replica's
 * limit.
 */
import type { ReplicaDefinition } from '../model/service-definition.js';
import { parseAddress } from '../seams/address.js';
import type { HttpClient, HttpClientRequest, HttpClientResponse } from '../seams/http.js';
import type { Network } from '../seams/network.js';

/**
 * Routers that may send requests to one replica at once. Each uses one such part of the replica's
 * connections, since a router does not know how many other routers there are.
 */
export const ROUTERS_PER_REPLICA = 4;

/**
 * Longest time to open a connection to a replica, which usually takes about a millisecond. An attempt
 * at a machine that no longer answers takes this long to fail. See "Time allowed to connect" in
 * docs/RESULTS.md. Milliseconds.
 */
const CONNECT_TIMEOUT_MS = 250;
/** Idle connections are closed after this time, before servers close them, usually at 5 s. Milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** How a router divides its share of a replica's connections. */
export interface ConnectionShare {
  /** Keep-alive connections for repeatable requests; one of them is for the report. */
  readonly kept: number;
  /** Connections that are each opened for one non-repeatable request. */
  readonly fresh: number;
}

/** Returns a router's share of the `connections` that a replica accepts; at least one of each kind. */
export function connectionShare(connections: number): ConnectionShare {
  const share = Math.max(2, Math.floor(connections / ROUTERS_PER_REPLICA));
  const fresh = Math.floor(share / 2);
  return { kept: share - fresh, fresh };
}

/** Sends requests to one replica. */
export class ReplicaChannel {
  private readonly keepAliveClient: HttpClient;
  private readonly freshClient: HttpClient;
  private readonly share: ConnectionShare;
  private readonly slots: number;

  constructor(network: Network, replica: ReplicaDefinition, maximumResponseBytes: number) {
    this.slots = replica.slots;
    this.share = connectionShare(replica.connections);
    const address = parseAddress(replica.address);
    const bounds = {
      maximumResponseBytes,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    };
    this.keepAliveClient = network.httpClient(address, {
      ...bounds,
      connections: this.share.kept,
    });
    this.freshClient = network.httpClient(address, {
      ...bounds,
      connections: this.share.fresh,
    });
  }

  /**
   * Most attempts in flight. No more than the replica's slots: a further attempt would wait at the
   * replica, where no other replica can take it over. If there are at least two keep-alive
   * connections, one is left for the report.
   */
  get capacity(): number {
    return Math.max(1, Math.min(this.slots, this.share.kept - 1, this.share.fresh));
  }

  /** @throws HttpClientError if the HTTP client fails. */
  send(request: HttpClientRequest): Promise<HttpClientResponse> {
    const client = request.freshConnection === true ? this.freshClient : this.keepAliveClient;
    return client.request(request);
  }

  /** Closes idle connections now and busy ones when their requests finish. */
  async close(): Promise<void> {
    await Promise.all([this.keepAliveClient.close(), this.freshClient.close()]);
  }
}
