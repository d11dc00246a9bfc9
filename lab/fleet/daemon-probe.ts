/** Looks at a daemon from outside: its readiness and its metrics. */
import type { Address } from '../../src/seams/address.js';
import type { HttpClient } from '../../src/seams/http.js';
import type { Network } from '../../src/seams/network.js';

const STATUS_OK = 200;
const OPTIONS = {
  connections: 1,
  maximumResponseBytes: 4 * 1024 * 1024,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

/** Close it after use. */
export class DaemonProbe {
  private readonly client: HttpClient;

  constructor(
    network: Network,
    address: Address,
    private readonly signal: AbortSignal,
  ) {
    this.client = network.httpClient(address, OPTIONS);
  }

  /** @throws HttpClientError when the daemon cannot be reached. */
  async isReady(): Promise<boolean> {
    return (await this.get('/readyz')).status === STATUS_OK;
  }

  /**
   * The value of a metric without labels; undefined when there is none.
   *
   * @throws HttpClientError when the daemon cannot be reached.
   */
  async metric(name: string): Promise<number | undefined> {
    const { body } = await this.get('/metrics');
    const lines = Buffer.from(body).toString('utf8').split('\n');
    const value = lines.find((line) => line.startsWith(`${name} `))?.slice(name.length + 1);
    return value === undefined ? undefined : Number(value);
  }

  close(): void {
    this.client.destroy();
  }

  private get(path: string): ReturnType<HttpClient['request']> {
    return this.client.request({ method: 'GET', path, headers: {}, signal: this.signal });
  }
}
