/** A listener with small limits and the callers a test connects to it. */
import { listenHttp } from '../../../src/node/node-http-server.js';
import type { HttpHandler, HttpListener, HttpListenOptions } from '../../../src/seams/http.js';
import { RawCaller, type RawResponse } from './raw-caller.js';

const LIMITS: HttpListenOptions = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 2_048,
  requestTimeout: 250,
  maximumConnections: 100,
  maximumBufferedBytes: 65_536,
};
const LOOPBACK = { host: '127.0.0.1', port: 0 };

export const GET = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

/** A POST whose header announces `announced` bytes. */
export function post(body: string, announced = body.length): string {
  return `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${announced}\r\n\r\n${body}`;
}

/** The typed error of a response. */
export function errorOf(response: RawResponse | undefined): unknown {
  if (response === undefined) return undefined;
  return (JSON.parse(response.body) as { error: unknown }).error;
}

/** Lets everything that is ready to run, run once. */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

export class ListenerFixture {
  /** Bodies the handler has seen, when it is the one that echoes. */
  seen: string[] = [];
  private listener: HttpListener | undefined;
  private readonly callers: RawCaller[] = [];

  /** Answers with the body it got. */
  readonly echo: HttpHandler = async ({ body }) => {
    this.seen.push(Buffer.from(body).toString());
    return { status: 200, body };
  };

  async start(
    handler: HttpHandler = this.echo,
    limits: Partial<HttpListenOptions> = {},
    minimumReadRate?: number,
  ): Promise<void> {
    this.listener = await listenHttp(LOOPBACK, { ...LIMITS, ...limits }, handler, {
      ...(minimumReadRate === undefined ? {} : { minimumReadRate }),
    });
  }

  /** Listens with a handler that answers `body` when the test says so. */
  async startHeld(body: string): Promise<{ began: Promise<void>; finish: () => void }> {
    let begin = (): void => undefined;
    let finish = (): void => undefined;
    const began = new Promise<void>((resolve) => (begin = resolve));
    const finished = new Promise<void>((resolve) => (finish = resolve));
    await this.start(async () => {
      begin();
      await finished;
      return { status: 200, body };
    });
    return { began, finish };
  }

  /** Connects and sends. */
  async call(bytes: string | Uint8Array): Promise<RawCaller> {
    if (this.listener === undefined) throw new Error('not listening');
    const caller = await RawCaller.open(this.listener.address);
    this.callers.push(caller);
    caller.send(bytes);
    return caller;
  }

  async close(): Promise<void> {
    await this.listener?.close();
  }

  async stop(): Promise<void> {
    for (const caller of this.callers) caller.close();
    await this.close();
  }
}
