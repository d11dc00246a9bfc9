/** A network in memory that connects the router's listener and the fake back ends. */
import { HttpClientError } from '../../../src/errors/http-client-error.js';
import { BACKEND_QUERY_PATH } from '../../../src/model/backend-protocol.js';
import { formatAddress, type Address } from '../../../src/seams/address.js';
import type {
  HttpClient,
  HttpClientRequest,
  HttpClientResponse,
  HttpHandler,
  HttpListenOptions,
  HttpListener,
} from '../../../src/seams/http.js';
import type { MessageConnection, MessageListener } from '../../../src/seams/message-connection.js';
import type { Network } from '../../../src/seams/network.js';
import type { FakeBackend } from './fake-backend.js';

class FakeHttpClient implements HttpClient {
  constructor(
    private readonly peer: string,
    private readonly backend: FakeBackend | undefined,
  ) {}

  request(request: HttpClientRequest): Promise<HttpClientResponse> {
    const fail = (kind: HttpClientError['kind'], sent: boolean): HttpClientError =>
      new HttpClientError(kind, sent, this.peer);
    const { backend } = this;
    if (request.signal?.aborted === true) return Promise.reject(fail('aborted', false));
    if (backend === undefined || backend.down) return Promise.reject(fail('connect_failed', false));
    const cancelled = new AbortController();
    const accept = (bytes: number): boolean => request.acceptBytes?.(bytes) ?? true;
    return new Promise((resolve, reject) => {
      request.signal?.addEventListener('abort', () => {
        cancelled.abort(new Error('cancelled'));
        reject(fail('aborted', true));
      });
      const partial = backend.bytesAtOnce;
      if (partial > 0 && request.path === BACKEND_QUERY_PATH && !accept(partial)) {
        cancelled.abort(new Error('cancelled'));
        reject(fail('response_too_large', true));
        return;
      }
      backend.serve(request, cancelled.signal).then((response) => {
        const accepted = request.acceptResponse?.(response.headers) ?? true;
        if (!accepted) reject(fail('response_rejected', true));
        else if (accept(response.body.length)) resolve(response);
        else reject(fail('response_too_large', true));
      }, reject);
    });
  }

  async close(): Promise<void> {}

  destroy(): void {}
}

export class FakeNetwork implements Network {
  /** Request handler of the router; undefined before it listens. */
  handler: HttpHandler | undefined;
  listening = false;

  constructor(private readonly backends: ReadonlyMap<string, FakeBackend>) {}

  listenHttp(address: Address, _: HttpListenOptions, handler: HttpHandler): Promise<HttpListener> {
    this.handler = handler;
    this.listening = true;
    const close = async (): Promise<void> => void (this.listening = false);
    return Promise.resolve({ address, close, setIdleTimeout: () => undefined });
  }

  httpClient(peer: Address): HttpClient {
    const address = formatAddress(peer);
    return new FakeHttpClient(address, this.backends.get(address));
  }

  listenMessages(): Promise<MessageListener> {
    return Promise.reject(new Error('the fake network carries no messages'));
  }

  connectMessages(): Promise<MessageConnection> {
    return Promise.reject(new Error('the fake network carries no messages'));
  }
}
