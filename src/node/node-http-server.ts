/** Serves whole requests over Node's `http`, with every bound enforced before the handler. */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { ConnectionError } from '../errors/connection-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import type {
  HttpHandler,
  HttpHeaders,
  HttpListenOptions,
  HttpListener,
  HttpRequest,
  HttpResponse,
} from '../seams/http.js';

const STATUS_PAYLOAD_TOO_LARGE = 413;
const STATUS_INTERNAL_ERROR = 500;
/** How often Node looks for requests that outlasted their time. Milliseconds. */
const CONNECTION_CHECK_INTERVAL = 1_000;

function flattenHeaders(headers: IncomingHttpHeaders): HttpHeaders {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = typeof value === 'string' ? value : (value[0] ?? '');
  }
  return flat;
}

/** The whole body, or undefined when it is longer than `maximumBytes`. */
async function readBody(
  message: IncomingMessage,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maximumBytes) return undefined;
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function errorResponse(status: number, code: string, message: string): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ error: { code, message, mayHaveRun: false } }),
  };
}

class NodeHttpListener implements HttpListener {
  readonly address: Address;
  private closing = false;
  private readonly usedSockets = new WeakSet<Socket>();

  constructor(
    private readonly server: Server,
    private readonly options: HttpListenOptions,
    private readonly handler: HttpHandler,
    host: string,
  ) {
    this.address = { host, port: (server.address() as AddressInfo).port };
    server.on('request', (message, response) => void this.serve(message, response));
  }

  close(): Promise<void> {
    this.closing = true;
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const gone = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) gone.abort(new Error('caller gone'));
    });
    try {
      const body = await readBody(message, this.options.maximumBodyBytes);
      if (body === undefined) {
        response.setHeader('connection', 'close');
        this.write(
          response,
          errorResponse(STATUS_PAYLOAD_TOO_LARGE, 'bad_request', 'the body is too large'),
        );
        return;
      }
      this.write(response, await this.handler(this.toRequest(message, body, gone.signal)));
    } catch (error) {
      if (gone.signal.aborted) return;
      const reason = error instanceof Error ? error.message : String(error);
      this.write(response, errorResponse(STATUS_INTERNAL_ERROR, 'failed', reason));
    }
  }

  private toRequest(message: IncomingMessage, body: Buffer, signal: AbortSignal): HttpRequest {
    const target = message.url ?? '/';
    const newConnection = !this.usedSockets.has(message.socket);
    this.usedSockets.add(message.socket);
    const separator = target.indexOf('?');
    return {
      method: message.method ?? 'GET',
      path: separator < 0 ? target : target.slice(0, separator),
      query: new URLSearchParams(separator < 0 ? '' : target.slice(separator + 1)),
      headers: flattenHeaders(message.headers),
      body,
      signal,
      remoteAddress: message.socket.remoteAddress ?? '',
      newConnection,
    };
  }

  private write(response: ServerResponse, content: HttpResponse): void {
    if (response.destroyed || response.headersSent) return;
    const body = typeof content.body === 'string' ? Buffer.from(content.body) : content.body;
    if (this.closing) response.setHeader('connection', 'close');
    if (content.closeAfterBytes === 0) {
      response.destroy();
      return;
    }
    response.writeHead(content.status, { ...content.headers, 'content-length': body.length });
    if (content.closeAfterBytes === undefined) {
      response.end(body);
      return;
    }
    response.write(body.subarray(0, content.closeAfterBytes), () => response.destroy());
  }
}

/** Starts a listener; see `Network.listenHttp`. */
export async function listenHttp(
  address: Address,
  options: HttpListenOptions,
  handler: HttpHandler,
): Promise<HttpListener> {
  const server = createServer({
    maxHeaderSize: options.maximumHeaderBytes,
    requestTimeout: options.requestTimeout,
    headersTimeout: options.requestTimeout,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL,
    noDelay: true,
  });
  server.maxConnections = options.maximumConnections;
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      reject(new ConnectionError('listen', formatAddress(address), error.message, error));
    });
    server.listen(address.port, address.host, resolve);
  });
  return new NodeHttpListener(server, options, handler, address.host);
}
