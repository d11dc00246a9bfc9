/** Tells the platform list what becomes of the machines of one process. */
import { HttpClientError } from '../../src/errors/http-client-error.js';
import type { Address } from '../../src/seams/address.js';
import type { HttpClient } from '../../src/seams/http.js';
import type { Network } from '../../src/seams/network.js';
import { PLATFORM_MACHINES_PATH, type PlatformMachine } from './platform-list.js';

const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 65_536,
  connectTimeout: 1_000,
  keepAliveTimeout: 4_000,
};

/** Sends changes in order, one at a time. */
export class PlatformAgent {
  private readonly client: HttpClient;
  private sending: Promise<void> = Promise.resolve();

  constructor(network: Network, address: Address) {
    this.client = network.httpClient(address, CLIENT_OPTIONS);
  }

  /** Resolves once the change was sent; a change the list did not take is dropped. */
  tell(machine: PlatformMachine): Promise<void> {
    this.sending = this.sending.then(() => this.send(machine));
    return this.sending;
  }

  async close(): Promise<void> {
    await this.sending;
    await this.client.close();
  }

  private async send(machine: PlatformMachine): Promise<void> {
    try {
      await this.client.request({
        method: 'PUT',
        path: PLATFORM_MACHINES_PATH,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(machine),
      });
    } catch (error) {
      if (!(error instanceof HttpClientError)) throw error;
    }
  }
}
