/** Commands stand-in back ends through the control port of their process. */
import type { Address } from '../../src/seams/address.js';
import type { HttpClient } from '../../src/seams/http.js';
import type { Network } from '../../src/seams/network.js';
import type { BackendAction, PublishRequest } from './backend-action.js';
import type { ReplicaStatus } from './backend-control.js';
import type { BackendFaultInput } from './backend-fault.js';

const STATUS_OK = 200;
const CLIENT_OPTIONS = {
  connections: 2,
  maximumResponseBytes: 64 * 1024 * 1024,
  connectTimeout: 2_000,
  keepAliveTimeout: 4_000,
};

/** One process of stand-in back ends. */
export class BackendControlClient {
  private readonly client: HttpClient;

  constructor(network: Network, address: Address) {
    this.client = network.httpClient(address, CLIENT_OPTIONS);
  }

  listReplicas(): Promise<ReplicaStatus[]> {
    return this.send<ReplicaStatus[]>('GET', '/replicas');
  }

  setFault(replicaId: string, fault: BackendFaultInput): Promise<unknown> {
    return this.send('POST', `/replicas/${replicaId}/faults`, fault);
  }

  clearFaults(replicaId: string): Promise<unknown> {
    return this.send('DELETE', `/replicas/${replicaId}/faults`);
  }

  /** `stop` resolves when the last request in flight was answered. */
  act(replicaId: string, action: BackendAction): Promise<unknown> {
    return this.send('POST', `/replicas/${replicaId}/${action}`);
  }

  publish(service: string, snapshot: PublishRequest): Promise<unknown> {
    return this.send('POST', `/services/${service}/publish`, snapshot);
  }

  /** Publishes to one replica. */
  publishTo(replicaId: string, snapshot: PublishRequest): Promise<unknown> {
    return this.send('POST', `/replicas/${replicaId}/publish`, snapshot);
  }

  close(): void {
    this.client.destroy();
  }

  /** @throws Error when the process does not take the command. */
  private async send<T>(method: string, path: string, content?: unknown): Promise<T> {
    const response = await this.client.request({
      method,
      path,
      headers: { 'content-type': 'application/json' },
      ...(content === undefined ? {} : { body: JSON.stringify(content) }),
    });
    const text = Buffer.from(response.body).toString('utf8');
    if (response.status !== STATUS_OK) throw new Error(`${method} ${path}: ${text}`);
    return JSON.parse(text) as T;
  }
}
