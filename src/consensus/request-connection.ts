/**
 * Requests over one connection, answered in any order. One task reads the
 * answers; a request that is not answered in time closes the connection, since
 * a peer that is cut off in silence looks the same as a slow one.
 */
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { MalformedMessageError, PeerRequestError } from './consensus-errors.js';
import { decodeEnvelope, encodeEnvelope, type Envelope } from './envelope.js';
import { EXCHANGES, type ExchangeName, type RequestOf, type ResponseOf } from './messages.js';
import type { AnyMessageType } from './message-type.js';

const CORRELATION_LIMIT = 2 ** 32;

interface PendingRequest {
  readonly exchange: ExchangeName;
  readonly resolve: (body: Buffer) => void;
  readonly reject: (error: unknown) => void;
}

/** The asking side of one connection. */
export class RequestConnection {
  private readonly pending = new Map<number, PendingRequest>();
  private nextCorrelation = 1;
  private closedFlag = false;

  constructor(
    private readonly connection: MessageConnection,
    private readonly peerId: string,
    private readonly clock: Clock,
    private readonly onMalformed: () => void,
  ) {}

  get closed(): boolean {
    return this.closedFlag;
  }

  /** Reads answers until the connection ends; never throws. */
  async run(): Promise<void> {
    try {
      for (;;) {
        const frame = await this.connection.receive();
        if (frame === undefined) break;
        this.accept(frame);
      }
      this.close('connection closed by the peer');
    } catch (error) {
      if (error instanceof MalformedMessageError) this.onMalformed();
      this.close(error instanceof Error ? error.message : String(error), error);
    }
  }

  /**
   * Sends one request and waits for its answer.
   *
   * @throws PeerRequestError telling whether the request may have left.
   */
  async request<N extends ExchangeName>(
    exchange: N,
    message: RequestOf<N>,
    timeout: number,
  ): Promise<ResponseOf<N>> {
    if (this.closedFlag) throw this.error(exchange, 'connection closed', false);
    const correlation = this.nextCorrelation;
    this.nextCorrelation = (correlation + 1) % CORRELATION_LIMIT;
    const requestType = EXCHANGES[exchange].request as AnyMessageType;
    const body = requestType.encode(message);
    const answer = this.waitForAnswer(correlation, exchange);
    const expire = (): void => this.close(`no answer within ${timeout} ms`);
    const timer = this.clock.setTimer(timeout, expire, { afterReading: true });
    try {
      const frame = encodeEnvelope({ exchange, isResponse: false, correlation, body });
      await Promise.race([this.connection.send(frame), answer]);
      return this.decode(exchange, await answer);
    } catch (error) {
      if (error instanceof PeerRequestError) throw error;
      const reason = error instanceof Error ? error.message : String(error);
      this.close(reason, error);
      throw this.error(exchange, reason, true, error);
    } finally {
      timer.cancel();
      this.pending.delete(correlation);
    }
  }

  /** Fails all requests and closes the connection. */
  close(reason: string, cause?: unknown): void {
    if (this.closedFlag) return;
    this.closedFlag = true;
    this.connection.close();
    for (const request of this.pending.values()) {
      request.reject(this.error(request.exchange, reason, true, cause));
    }
    this.pending.clear();
  }

  private waitForAnswer(correlation: number, exchange: ExchangeName): Promise<Buffer> {
    const answer = new Promise<Buffer>((resolve, reject) => {
      this.pending.set(correlation, { exchange, resolve, reject });
    });
    // The failure also reaches the requester; this only keeps it from counting as unhandled.
    answer.catch(() => undefined);
    return answer;
  }

  private accept(frame: Uint8Array): void {
    const envelope = this.decodeFrame(frame);
    const request = this.pending.get(envelope.correlation);
    if (request === undefined) return;
    if (!envelope.isResponse || request.exchange !== envelope.exchange) {
      throw new MalformedMessageError(this.peerId, 'an answer of another kind than its request');
    }
    request.resolve(envelope.body);
  }

  private decodeFrame(frame: Uint8Array): Envelope {
    try {
      return decodeEnvelope(frame);
    } catch (error) {
      throw new MalformedMessageError(this.peerId, String(error), error);
    }
  }

  private decode<N extends ExchangeName>(exchange: N, body: Buffer): ResponseOf<N> {
    const responseType = EXCHANGES[exchange].response as AnyMessageType;
    try {
      return responseType.decode(body) as ResponseOf<N>;
    } catch (error) {
      this.onMalformed();
      throw new MalformedMessageError(this.peerId, String(error), error);
    }
  }

  private error(step: string, message: string, sent: boolean, cause?: unknown): PeerRequestError {
    return new PeerRequestError(step, this.peerId, message, sent, cause);
  }
}
