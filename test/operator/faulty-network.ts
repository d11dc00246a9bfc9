/** A network over in-process controllers whose connections fail on demand, in virtual time. */
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type { Clock, Timer } from '../../src/seams/clock.js';
import type { HttpClient, HttpClientRequest, HttpClientResponse } from '../../src/seams/http.js';
import type { Network } from '../../src/seams/network.js';
import type { TestController } from '../administration/controllers.js';

/** How one controller's connections fail. */
export type ConnectionFault = 'refused' | 'lost_after_run' | 'lost_before_run' | 'silent_after_run';

/** Time that passes only when someone sleeps, or a peer is silent. */
export class SteppedClock implements Clock {
  private time = 0;
  private readonly timers = new Set<{ readonly at: number; readonly callback: () => void }>();

  now(): number {
    return this.time;
  }

  wallTime(): number {
    return this.time;
  }

  setTimer(milliseconds: number, callback: () => void): Timer {
    const timer = { at: this.time + milliseconds, callback };
    this.timers.add(timer);
    return { cancel: () => this.timers.delete(timer) };
  }

  async sleep(milliseconds: number): Promise<void> {
    this.advance(milliseconds);
  }

  advance(milliseconds: number): void {
    this.time += milliseconds;
    for (const timer of [...this.timers]) {
      if (timer.at > this.time) continue;
      this.timers.delete(timer);
      timer.callback();
    }
  }
}

class FaultyClient implements HttpClient {
  constructor(
    private readonly network: FaultyNetwork,
    private readonly peer: string,
    private readonly controller: TestController,
  ) {}

  async request(request: HttpClientRequest): Promise<HttpClientResponse> {
    this.network.asked.push(this.peer);
    const fault = this.network.faults.get(this.peer);
    if (fault === 'refused') throw new HttpClientError('connect_failed', false, this.peer);
    if (fault === 'lost_before_run') throw new HttpClientError('connection_lost', true, this.peer);
    const response = await this.run(request);
    if (fault === 'lost_after_run') throw new HttpClientError('connection_lost', true, this.peer);
    if (fault === 'silent_after_run') {
      this.network.clock.advance(60_000);
      if (request.signal?.aborted === true) throw new HttpClientError('aborted', true, this.peer);
    }
    return response;
  }

  async close(): Promise<void> {}

  destroy(): void {}

  private async run(request: HttpClientRequest): Promise<HttpClientResponse> {
    const token = request.headers['authorization']?.slice('Bearer '.length);
    const rawBody = typeof request.body === 'string' ? request.body : '';
    const reply = await this.controller.call(request.method, request.path, { token, rawBody });
    const body = new TextEncoder().encode(JSON.stringify(reply.body));
    return { status: reply.status, headers: reply.headers, body };
  }
}

/** Controller i listens at `10.0.0.i:1`. */
export class FaultyNetwork implements Network {
  readonly clock = new SteppedClock();
  readonly faults = new Map<string, ConnectionFault>();
  /** Who was asked, in order. */
  readonly asked: string[] = [];

  constructor(private readonly controllers: readonly TestController[]) {}

  get addresses(): Address[] {
    return this.controllers.map((_, index) => ({ host: `10.0.0.${index + 1}`, port: 1 }));
  }

  httpClient(peer: Address): HttpClient {
    const index = Number(peer.host.split('.').at(-1)) - 1;
    const controller = this.controllers[index];
    if (controller === undefined) throw new RangeError(formatAddress(peer));
    return new FaultyClient(this, formatAddress(peer), controller);
  }

  listenHttp(): never {
    throw new Error('not used');
  }
  listenMessages(): never {
    throw new Error('not used');
  }
  connectMessages(): never {
    throw new Error('not used');
  }
}
