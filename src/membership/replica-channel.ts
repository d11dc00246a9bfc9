/**
 * The connections of this router to one replica. Requests that must not meet a
 * stale keep-alive connection have connections of their own, so that each kind
 * stays within its part of the replica's limit.
 */
import type { ReplicaDefinition } from '../model/service-definition.js';
import { parseAddress } from '../seams/address.js';
import type { HttpClient, HttpClientRequest, HttpClientResponse } from '../seams/http.js';
import type { Network } from '../seams/network.js';

/**
 * Routers that may serve one replica at once. Each takes this share of the
 * replica's connections, since a router does not know how many others there are.
 */
export const ROUTERS_PER_REPLICA = 4;

/**
 * Longest time to open a connection to a replica, which usually takes about a
 * millisecond; a machine lost in silence costs an attempt this much. See "Time
 * allowed to connect" in docs/RESULTS.md. Milliseconds.
 */
const CONNECT_TIMEOUT_MS = 250;
/** Idle connections are closed after this time, below the usual 5 s of servers. Milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** How one router divides its share of a replica's connections. */
export interface ConnectionShare {
  /** Kept alive; carry repeatable requests and, one of them, the report. */
  readonly kept: number;
  /** Opened for one not repeatable request each. */
  readonly fresh: number;
}

/** The share of a replica that accepts `connections` in all; at least one of each kind. */
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
    this.keepAliveClient = network.httpClient(address, { ...bounds, connections: this.share.kept });
    this.freshClient = network.httpClient(address, { ...bounds, connections: this.share.fresh });
  }

  /**
   * Most attempts in flight. No more than the replica has slots: a further one
   * would wait at the replica, where no sibling can take it. One kept
   * connection is left to the report where there are two.
   */
  get capacity(): number {
    return Math.max(1, Math.min(this.slots, this.share.kept - 1, this.share.fresh));
  }

  /** @throws HttpClientError as the client does. */
  send(request: HttpClientRequest): Promise<HttpClientResponse> {
    const client = request.freshConnection === true ? this.freshClient : this.keepAliveClient;
    return client.request(request);
  }

  /** Closes idle connections now and the others as they finish. */
  async close(): Promise<void> {
    await Promise.all([this.keepAliveClient.close(), this.freshClient.close()]);
  }
}
