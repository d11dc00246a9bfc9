/** The operating system's network. */
import type { Address } from '../seams/address.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpHandler,
  HttpListenOptions,
  HttpListener,
} from '../seams/http.js';
import type { MessageConnection, MessageListener } from '../seams/message-connection.js';
import type { Network } from '../seams/network.js';
import { divideMemory, type MemoryBudgets } from './memory-budgets.js';
import { connectMessages, listenMessages } from './message-server.js';
import { NodeHttpClient } from './node-http-client.js';
import { availableMemory } from './process-memory.js';
import { listenHttp } from './node-http-server.js';
import { ResponseMemory } from './response-memory.js';
import { SharedMemory } from './shared-memory.js';

/** Production {@link Network}. */
export class NodeNetwork implements Network {
  /** Of all callers of the process. */
  private readonly requestMemory: SharedMemory;
  /** Of all message connections of the process. */
  private readonly messageMemory: SharedMemory;
  private readonly responses: ResponseMemory;

  constructor(readonly budgets: MemoryBudgets = divideMemory(availableMemory())) {
    this.requestMemory = new SharedMemory(budgets.requests);
    this.messageMemory = new SharedMemory(budgets.messages);
    this.responses = new ResponseMemory(budgets.responses);
  }

  listenHttp(
    address: Address,
    options: HttpListenOptions,
    handler: HttpHandler,
  ): Promise<HttpListener> {
    return listenHttp(address, options, handler, undefined, this.requestMemory);
  }

  httpClient(peer: Address, options: HttpClientOptions): HttpClient {
    return new NodeHttpClient(peer, options, this.responses);
  }

  listenMessages(
    address: Address,
    onConnection: (connection: MessageConnection) => Promise<void>,
  ): Promise<MessageListener> {
    return listenMessages(address, onConnection, this.messageMemory);
  }

  connectMessages(peer: Address, timeout: number): Promise<MessageConnection> {
    return connectMessages(peer, timeout, this.messageMemory);
  }
}
