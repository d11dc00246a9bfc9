/** The addresses of a gateway. */
import { AuthenticatedListener } from '../protocol/authenticated-listener.js';
import type { Address } from '../seams/address.js';
import type { HttpHandler, HttpListenOptions, HttpListener } from '../seams/http.js';
import type { Network } from '../seams/network.js';
import { HEALTH_LISTENER_OPTIONS } from './health-endpoint.js';

/** Where a gateway listens. */
export interface GatewayAddresses {
  readonly http: Address;
  readonly health: Address;
  readonly messages?: Address | undefined;
}

/** Who serves what comes in. */
export interface GatewayHandlers {
  readonly callerOptions: HttpListenOptions;
  readonly caller: HttpHandler;
  readonly health: HttpHandler;
}

/** Open listeners. */
export class GatewayListeners {
  private constructor(
    readonly callers: HttpListener,
    readonly health: HttpListener,
    /** Serves nobody yet. */
    readonly messages: AuthenticatedListener | undefined,
  ) {}

  /**
   * Takes the addresses in the reverse of the order in which a planned stop gives them up: callers
   * are accepted only once the predecessor holds none of the others.
   *
   * @throws ConnectionError when one of them cannot be listened on; then none is.
   */
  static async open(
    network: Network,
    addresses: GatewayAddresses,
    { callerOptions, caller, health }: GatewayHandlers,
  ): Promise<GatewayListeners> {
    const opened: { close(): Promise<void> }[] = [];
    const keep = <T extends { close(): Promise<void> }>(listener: T): T => {
      opened.push(listener);
      return listener;
    };
    const { messages, http } = addresses;
    try {
      const messageListener =
        messages === undefined
          ? undefined
          : keep(await AuthenticatedListener.bind(network, messages));
      const healthListener = keep(
        await network.listenHttp(addresses.health, HEALTH_LISTENER_OPTIONS, health),
      );
      const callerListener = keep(await network.listenHttp(http, callerOptions, caller));
      return new GatewayListeners(callerListener, healthListener, messageListener);
    } catch (error) {
      for (const listener of opened) await listener.close();
      throw error;
    }
  }

  async close(): Promise<void> {
    await this.callers.close();
    await this.health.close();
    await this.messages?.close();
  }
}
