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
import { BlockPool } from './block-pool.js';
import { BufferReclaimer } from './buffer-reclaimer.js';
import { collectHeap, collectYoungGeneration } from './heap-collector.js';
import { divideMemory, garbageBound, heldBytes, type MemoryBudgets } from './memory-budgets.js';
import { connectMessages, listenMessages } from './message-server.js';
import { NodeHttpClient } from './node-http-client.js';
import { availableMemory } from './process-memory.js';
import { listenHttp } from './node-http-server.js';
import { ReceiveMemory } from './receive-memory.js';
import { SharedMemory } from './shared-memory.js';

/** Production {@link Network}. */
export class NodeNetwork implements Network {
  private readonly blocks: BlockPool;
  private readonly responses: ReceiveMemory;
  /** Of what callers of all listeners have sent and nobody serves yet. */
  private readonly unserved: SharedMemory;
  /** Of all message connections of the process. */
  private readonly messageMemory: SharedMemory;

  constructor(readonly budgets: MemoryBudgets = divideMemory(availableMemory())) {
    this.blocks = new BlockPool(budgets.responses, this.createReclaimer());
    this.responses = new ReceiveMemory(budgets.responses, this.blocks);
    this.unserved = new SharedMemory(budgets.unserved);
    this.messageMemory = new SharedMemory(budgets.messages);
  }

  listenHttp(
    address: Address,
    options: HttpListenOptions,
    handler: HttpHandler,
  ): Promise<HttpListener> {
    const { blocks, budgets, unserved } = this;
    return listenHttp(address, options, handler, { requests: budgets.requests, blocks, unserved });
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

  private createReclaimer(): BufferReclaimer {
    return new BufferReclaimer({
      bufferBytes: () => process.memoryUsage().arrayBuffers,
      heldBytes: () => heldBytes(this.budgets) + this.blocks.freeBytes,
      maximumGarbageBytes: garbageBound(this.budgets),
      collectYoung: collectYoungGeneration,
      collectAll: collectHeap,
    });
  }
}
