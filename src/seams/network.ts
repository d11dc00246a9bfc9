/**
 * The network seam: HTTP towards callers, back ends and operators, and framed
 * message streams between the system's own processes.
 */
import type { Address } from './address.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpHandler,
  HttpListenOptions,
  HttpListener,
} from './http.js';
import type { MessageConnection, MessageListener } from './message-connection.js';

/** All of a process's means of reaching another. */
export interface Network {
  listenHttp(
    address: Address,
    options: HttpListenOptions,
    handler: HttpHandler,
  ): Promise<HttpListener>;

  httpClient(peer: Address, options: HttpClientOptions): HttpClient;

  /**
   * Accepts framed connections. `onConnection` runs once for each; the
   * connection is closed when the promise it returns settles.
   */
  listenMessages(
    address: Address,
    onConnection: (connection: MessageConnection) => Promise<void>,
  ): Promise<MessageListener>;

  /**
   * Opens a framed connection.
   *
   * @throws ConnectionError when the peer cannot be reached within `timeout` milliseconds.
   */
  connectMessages(peer: Address, timeout: number): Promise<MessageConnection>;
}
