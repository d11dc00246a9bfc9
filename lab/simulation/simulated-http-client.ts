/** Connections to one peer, one request at a time on each, with the behaviour of the Node client. */
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { formatAddress } from '../../src/seams/address.js';
import type { HttpClient, HttpClientRequest, HttpClientResponse } from '../../src/seams/http.js';
import { ConnectionPool, type PoolTarget } from './connection-pool.js';
import { PendingRequest } from './pending-request.js';
import { never } from './process-life.js';

/** See the module comment. */
export class SimulatedHttpClient implements HttpClient {
  private readonly peer: string;
  private readonly kept: ConnectionPool;
  /** For requests that ask for a connection of their own. */
  private readonly fresh: ConnectionPool;

  constructor(private readonly target: PoolTarget) {
    this.peer = formatAddress(target.address);
    this.kept = new ConnectionPool(target, true);
    this.fresh = new ConnectionPool(target, false);
  }

  request(request: HttpClientRequest): Promise<HttpClientResponse> {
    if (!this.target.life.alive) return never();
    return new Promise((resolve, reject) => {
      if (request.signal?.aborted === true) {
        reject(new HttpClientError('aborted', false, this.peer, request.signal.reason));
        return;
      }
      const pool = request.freshConnection === true ? this.fresh : this.kept;
      pool.place(
        new PendingRequest(request, this.peer, resolve, reject, (pending) => pool.abort(pending)),
      );
    });
  }

  async close(): Promise<void> {
    if (!this.target.life.alive) return never();
    await Promise.all([this.kept.close(), this.fresh.close()]);
  }

  destroy(): void {
    if (!this.target.life.alive) return;
    this.kept.destroy();
    this.fresh.destroy();
  }
}
