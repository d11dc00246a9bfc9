/**
 * A network whose listen calls wait until their address is available. A daemon that starts while
 * its predecessor still drains takes over the addresses as they become free.
 */
import { AddressUnavailableError } from '../errors/address-unavailable-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpHandler,
  HttpListenOptions,
  HttpListener,
} from '../seams/http.js';
import type { MessageConnection, MessageListener } from '../seams/message-connection.js';
import type { Network } from '../seams/network.js';
import { retryWhilePassing, type WaitingContext } from './retry-while-passing.js';

/** Delegates everything but waiting. */
class WaitingNetwork implements Network {
  constructor(
    private readonly network: Network,
    private readonly context: WaitingContext,
  ) {}

  listenHttp(
    address: Address,
    options: HttpListenOptions,
    handler: HttpHandler,
  ): Promise<HttpListener> {
    return this.untilAvailable(address, () => this.network.listenHttp(address, options, handler));
  }

  listenMessages(
    address: Address,
    onConnection: (connection: MessageConnection) => Promise<void>,
  ): Promise<MessageListener> {
    return this.untilAvailable(address, () => this.network.listenMessages(address, onConnection));
  }

  httpClient(peer: Address, options: HttpClientOptions): HttpClient {
    return this.network.httpClient(peer, options);
  }

  connectMessages(peer: Address, timeout: number): Promise<MessageConnection> {
    return this.network.connectMessages(peer, timeout);
  }

  private untilAvailable<T>(address: Address, listen: () => Promise<T>): Promise<T> {
    return retryWhilePassing(this.context, {
      run: listen,
      mayPass: (error) => error instanceof AddressUnavailableError,
      waitingMessage: 'address not available yet',
      passedMessage: 'address available',
      fields: { address: formatAddress(address) },
    });
  }
}

/** The environment with listen calls that wait until `stopped` aborts. */
export function waitForAddresses<E extends Environment>(
  environment: E,
  { logger, stopped }: Omit<WaitingContext, 'clock'>,
): E {
  const { clock, network } = environment;
  return { ...environment, network: new WaitingNetwork(network, { clock, logger, stopped }) };
}
