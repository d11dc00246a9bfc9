/** The HTTP listener of a stand-in back end, which comes and goes on one port. */
import type { Address } from '../../src/seams/address.js';
import type { HttpHandler, HttpListener, HttpListenOptions } from '../../src/seams/http.js';
import type { Network } from '../../src/seams/network.js';

const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
const MAXIMUM_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT = 10_000;

/** Opened and closed any number of times. */
export class BackendListener {
  private listener: HttpListener | undefined;
  private readonly limits: HttpListenOptions;

  constructor(
    private readonly network: Network,
    private boundAddress: Address,
    connections: number,
    private readonly handler: HttpHandler,
  ) {
    this.limits = {
      maximumBodyBytes: MAXIMUM_BODY_BYTES,
      maximumHeaderBytes: MAXIMUM_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT,
      maximumConnections: connections,
    };
  }

  /** The port is the one really bound once it was open. */
  get address(): Address {
    return this.boundAddress;
  }

  get isOpen(): boolean {
    return this.listener !== undefined;
  }

  /** Does nothing when it is open. */
  async open(): Promise<void> {
    if (this.listener !== undefined) return;
    const { network, limits, handler } = this;
    this.listener = await network.listenHttp(this.boundAddress, limits, handler);
    this.boundAddress = this.listener.address;
  }

  /** Closed from now on; resolves when the last request in flight was answered. */
  async close(): Promise<void> {
    const listener = this.listener;
    this.listener = undefined;
    await listener?.close();
  }
}
