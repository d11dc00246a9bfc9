/** Answers the requests of other members, one task for each connection. */
import type { MessageConnection } from '../seams/message-connection.js';
import { IncarnationMismatchError } from './consensus-errors.js';
import { decodeEnvelope, encodeEnvelope, type Envelope } from './envelope.js';
import { HelloRefusal } from './hello-refusal.js';
import type { MemberState } from './member-state.js';
import { EXCHANGES, type ExchangeName, type RequestOf, type ResponseOf } from './messages.js';
import type { AnyMessageType } from './message-type.js';
import { Notifier } from './notifier.js';

/** What answers each request; `peerId` is who asks. */
export type RequestHandlers = {
  readonly [N in Exclude<ExchangeName, 'hello'>]: (
    request: RequestOf<N>,
    peerId: string,
  ) => Promise<ResponseOf<N>>;
};

/** Serves one connection. */
export class RequestServer {
  private readonly open = new Set<MessageConnection>();

  constructor(
    private readonly state: MemberState,
    private readonly handlers: RequestHandlers,
  ) {}

  /** Answers requests until the connection ends. Resolves then; never throws. */
  async serve(connection: MessageConnection, peerId: string): Promise<void> {
    if (this.state.signal.aborted) {
      connection.close();
      return;
    }
    this.open.add(connection);
    try {
      if (await this.acceptHello(connection, peerId)) await this.answerAll(connection, peerId);
    } catch {
      // The connection broke; the asking side dials again.
    } finally {
      this.open.delete(connection);
      connection.close();
    }
  }

  close(): void {
    for (const connection of this.open) connection.close();
  }

  private async acceptHello(connection: MessageConnection, peerId: string): Promise<boolean> {
    const frame = await connection.receive();
    if (frame === undefined) return false;
    const envelope = this.decodeFrame(frame, peerId);
    if (envelope === undefined || envelope.exchange !== 'hello') return false;
    const hello = this.decodeRequest('hello', envelope.body, peerId);
    if (hello === undefined) return false;
    const refusal = this.refusalOf(hello, peerId);
    const response = {
      accepted: refusal === undefined,
      incarnation: this.state.incarnation,
      reason: refusal ?? '',
    };
    const body = EXCHANGES.hello.response.encode(response);
    await connection.send(encodeEnvelope({ ...envelope, isResponse: true, body }));
    if (refusal === undefined) return true;
    const knownByAnotherFolder = refusal === HelloRefusal.Incarnation;
    if (knownByAnotherFolder && !this.state.bootstrapped) {
      this.state.fail(new IncarnationMismatchError(this.state.memberId, peerId));
    }
    const { metrics, logger } = this.state.dependencies;
    metrics.refusedPeers.inc({ reason: refusal });
    logger.warn('member refused', { peer: peerId, reason: refusal });
    return false;
  }

  private refusalOf(hello: RequestOf<'hello'>, peerId: string): HelloRefusal | undefined {
    const { clusterId, faults } = this.state.dependencies;
    if (hello.clusterId !== clusterId) return HelloRefusal.Cluster;
    if (hello.memberId !== peerId) return HelloRefusal.Identity;
    if (this.state.membership.retiredIds.includes(peerId)) {
      const { log, commitIndex } = this.state;
      const isCommitted = log.memberships.latestIndex <= commitIndex;
      return isCommitted ? HelloRefusal.Retired : HelloRefusal.Retiring;
    }
    if (faults.ignoreIncarnation === true) return undefined;
    const known = this.state.membership.find(peerId);
    if (known !== undefined && known.incarnation !== hello.incarnation) {
      return HelloRefusal.Incarnation;
    }
    const expected = hello.expectedIncarnation;
    const knowsThisFolder = expected === '' || expected === this.state.incarnation;
    return knowsThisFolder ? undefined : HelloRefusal.Incarnation;
  }

  private async answerAll(connection: MessageConnection, peerId: string): Promise<void> {
    const { clock, limits } = this.state.dependencies;
    const answered = new Notifier(clock);
    let running = 0;
    for (;;) {
      while (running >= limits.maximumConcurrentRequests) {
        await answered.wait(Infinity);
        if (this.state.signal.aborted) return;
      }
      const frame = await connection.receive();
      if (frame === undefined) return;
      const envelope = this.decodeFrame(frame, peerId);
      if (envelope === undefined || envelope.exchange === 'hello') return;
      const request = this.decodeRequest(envelope.exchange, envelope.body, peerId);
      if (request === undefined) return;
      running += 1;
      void this.answer(connection, envelope, request, peerId).finally(() => {
        running -= 1;
        answered.notify();
      });
    }
  }

  private async answer(
    connection: MessageConnection,
    envelope: Envelope,
    request: unknown,
    peerId: string,
  ): Promise<void> {
    try {
      const exchange = envelope.exchange as keyof RequestHandlers;
      const handler = this.handlers[exchange] as (
        request: unknown,
        peerId: string,
      ) => Promise<unknown>;
      const response = await handler(request, peerId);
      if (this.state.signal.aborted) return;
      const body = (EXCHANGES[exchange].response as AnyMessageType).encode(response);
      await connection.send(encodeEnvelope({ ...envelope, isResponse: true, body }));
    } catch (error) {
      // No answer can be given: the asking side must not wait for one.
      if (error instanceof RangeError) this.noteMalformed(peerId, error);
      connection.close();
    }
  }

  private decodeFrame(frame: Uint8Array, peerId: string): Envelope | undefined {
    try {
      const envelope = decodeEnvelope(frame);
      if (envelope.isResponse) throw new RangeError('a response where a request belongs');
      return envelope;
    } catch (error) {
      this.noteMalformed(peerId, error);
      return undefined;
    }
  }

  private decodeRequest<N extends ExchangeName>(
    exchange: N,
    body: Buffer,
    peerId: string,
  ): RequestOf<N> | undefined {
    try {
      const type = EXCHANGES[exchange].request as AnyMessageType;
      return type.decode(body) as RequestOf<N>;
    } catch (error) {
      this.noteMalformed(peerId, error);
      return undefined;
    }
  }

  private noteMalformed(peerId: string, error: unknown): void {
    this.state.dependencies.metrics.malformedMessages.inc();
    this.state.dependencies.logger.warn('malformed message', {
      peer: peerId,
      reason: String(error),
    });
  }
}
