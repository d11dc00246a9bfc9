/**
 * The connection on which this member asks one other, dialled when first
 * needed and again after it broke.
 */
import { formatAddress } from '../seams/address.js';
import type { MessageConnection } from '../seams/message-connection.js';
import {
  IncarnationMismatchError,
  MemberRetiredError,
  PeerRequestError,
} from './consensus-errors.js';
import { HelloRefusal } from './hello-refusal.js';
import type { MemberEndpoint } from './member-endpoint.js';
import type { MemberState } from './member-state.js';
import type { ExchangeName, RequestOf, ResponseOf } from './messages.js';
import { RequestConnection } from './request-connection.js';

/** Opens a connection to a member, handshake included; gives up when `stopped` aborts. */
export type Dial = (member: MemberEndpoint, stopped: AbortSignal) => Promise<MessageConnection>;

/** Asks one other member. */
export class PeerLink {
  private connection: RequestConnection | undefined;
  private dialling: Promise<RequestConnection> | undefined;
  private lastDialAt = -Infinity;
  private closed = false;

  constructor(
    private readonly state: MemberState,
    private readonly endpoint: MemberEndpoint,
    private readonly dial: Dial,
  ) {}

  get peerId(): string {
    return this.endpoint.memberId;
  }

  /** Opens the connection ahead of the first request. */
  open(): void {
    void this.connect().catch(() => undefined);
  }

  /**
   * Sends one request and waits for its answer. A connection that takes longer than `timeout` to open is
   * opened on for the requests that follow.
   *
   * @throws PeerRequestError telling whether the request may have left.
   */
  async request<N extends ExchangeName>(
    exchange: N,
    message: RequestOf<N>,
    timeout: number,
  ): Promise<ResponseOf<N>> {
    const connection = await this.connectWithin(exchange, timeout);
    try {
      return await connection.request(exchange, message, timeout);
    } catch (error) {
      this.state.dependencies.metrics.failedRequests.inc({ exchange });
      throw error;
    }
  }

  close(): void {
    this.closed = true;
    this.connection?.close('link closed');
  }

  private connectWithin(step: string, timeout: number): Promise<RequestConnection> {
    return this.within(this.connect(), step, timeout);
  }

  private async connect(): Promise<RequestConnection> {
    if (this.closed || this.state.signal.aborted) throw this.notSent('dial', 'link closed');
    if (this.connection !== undefined && !this.connection.closed) return this.connection;
    this.dialling ??= this.redial().finally(() => {
      this.dialling = undefined;
    });
    return this.dialling;
  }

  private async redial(): Promise<RequestConnection> {
    const { clock, timings } = this.state.dependencies;
    const wait = this.lastDialAt + timings.redialInterval - clock.now();
    if (wait > 0) await clock.sleep(wait);
    this.lastDialAt = clock.now();
    const raw = await this.dialWithin(timings.connectionTimeout);
    const connection = this.adopt(raw);
    try {
      await this.sayHello(connection, timings.connectionTimeout);
    } catch (error) {
      connection.close('hello failed');
      if (error instanceof PeerRequestError) throw this.notSent('hello', error.message, error);
      throw error;
    }
    if (this.closed) connection.close('link closed');
    this.connection = connection;
    return connection;
  }

  /** Gives up after `timeout`; a connection that still comes later is closed. */
  private async dialWithin(timeout: number): Promise<MessageConnection> {
    const dialled = this.dial(this.endpoint, this.state.signal).catch((error: unknown) => {
      throw this.notSent('dial', String(error), error);
    });
    try {
      return await this.within(dialled, 'dial', timeout);
    } catch (error) {
      void dialled.then((late) => late.close()).catch(() => undefined);
      throw error;
    }
  }

  /** Rejects after `timeout`, without an effect on `connecting`. */
  private within<T>(connecting: Promise<T>, step: string, timeout: number): Promise<T> {
    return new Promise((resolve, reject) => {
      const expire = (): void => reject(this.notSent(step, `no connection within ${timeout} ms`));
      const timer = this.state.dependencies.clock.setTimer(timeout, expire, { afterReading: true });
      void connecting.then(resolve, reject).finally(() => timer.cancel());
    });
  }

  private adopt(raw: MessageConnection): RequestConnection {
    const { clock, metrics } = this.state.dependencies;
    const connection = new RequestConnection(raw, this.peerId, clock, () =>
      metrics.malformedMessages.inc(),
    );
    void connection.run();
    return connection;
  }

  /** Shows which data folder each side has, and goes no further if it is not the known one. */
  private async sayHello(connection: RequestConnection, timeout: number): Promise<void> {
    const { clusterId, memberId, faults, metrics } = this.state.dependencies;
    const expectedIncarnation = this.state.membership.find(this.peerId)?.incarnation ?? '';
    const response = await connection.request(
      'hello',
      { clusterId, memberId, incarnation: this.state.incarnation, expectedIncarnation },
      timeout,
    );
    if (!response.accepted) this.onRefused(response.reason);
    const known = expectedIncarnation === '' || expectedIncarnation === response.incarnation;
    if (!known && faults.ignoreIncarnation !== true) {
      metrics.refusedPeers.inc({ reason: HelloRefusal.Incarnation });
      throw this.notSent('hello', 'the peer came back with another data folder');
    }
  }

  private onRefused(reason: string): never {
    const isNewFolder = !this.state.bootstrapped;
    if (isNewFolder && reason === HelloRefusal.Incarnation.valueOf()) {
      this.state.fail(new IncarnationMismatchError(this.state.memberId, this.peerId));
    }
    if (this.state.dependencies.stopWhenRetired && reason === HelloRefusal.Retired.valueOf()) {
      this.state.fail(new MemberRetiredError(this.state.memberId, this.peerId));
    }
    throw this.notSent('hello', `refused: ${reason}`);
  }

  private notSent(step: string, message: string, cause?: unknown): PeerRequestError {
    const peer = `${this.peerId} at ${formatAddress(this.endpoint.address)}`;
    return new PeerRequestError(step, peer, message, false, cause);
  }
}
