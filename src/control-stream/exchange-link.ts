/** The sending half of the exchange with one other controller: dials it and sends updates. */
import type { Notifier } from '../consensus/notifier.js';
import { dial } from '../protocol/dial.js';
import { parseAddress } from '../seams/address.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { EXCHANGE_SILENCE_MS, type ControllerExchangeParts } from './controller-exchange.js';
import type { DaemonRecord } from './daemon-record.js';
import { EXCHANGE_CODEC, type ExchangeMessage } from './exchange-messages.js';
import { parseHearing } from './connected-controllers.js';
import { SilenceGuard } from './silence-guard.js';
import { CONNECT_TIMEOUT_MS, INITIAL_BACK_OFF_MS, MAXIMUM_BACK_OFF_MS } from './stream-timing.js';

/** A keep-alive is sent after this long without any other message. Milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 3_000;

/** Delay before updates are sent, so that those in quick succession share a frame. Milliseconds. */
const BATCH_INTERVAL_MS = 50;

/** Maximum number of messages in one frame. */
const MESSAGES_PER_FRAME = 1_000;

const NO_CONTROLLERS: ReadonlySet<string> = new Set();

/** Reconnects with jittered back-off until stopped. */
export class ExchangeLink {
  private readonly stopped = new AbortController();
  private connection: MessageConnection | undefined;
  /**
   * Member ids of the controllers connected to the peer, from its latest answer
   * that listed them.
   */
  private connectedToPeer: ReadonlySet<string> = NO_CONTROLLERS;
  private daemonPosition = 0;
  private livenessReportPosition = 0;
  private lastSentAt = Number.NEGATIVE_INFINITY;
  private readonly finished: Promise<void>;

  constructor(
    private readonly parts: ControllerExchangeParts,
    private readonly memberId: string,
    private readonly address: string,
    private readonly updates: Notifier,
  ) {
    this.finished = this.run();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.connection?.close();
    this.updates.notify();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { random } = this.parts.environment;
    let backOff = INITIAL_BACK_OFF_MS;
    while (!this.stopped.signal.aborted) {
      const wasOpen = await this.connectAndSend();
      backOff = wasOpen ? INITIAL_BACK_OFF_MS : Math.min(backOff * 2, MAXIMUM_BACK_OFF_MS);
      await this.pause(backOff * (0.5 + random.nextFloat() / 2));
    }
  }

  /** Resolves when the connection has ended, with whether it was established; never rejects. */
  private async connectAndSend(): Promise<boolean> {
    const { environment, identity } = this.parts;
    let open = false;
    try {
      const connection = await dial(environment, identity, {
        address: parseAddress(this.address),
        role: 'exchange',
        memberId: this.memberId,
        connectTimeout: CONNECT_TIMEOUT_MS,
        signal: this.stopped.signal,
      });
      this.connection = connection;
      open = true;
      void this.receiveAnswers(connection);
      await this.sendUpdates(connection);
    } catch {
      // The accepting side counts the failure; this side reconnects after a pause.
    } finally {
      this.connection?.close();
      this.connection = undefined;
    }
    return open;
  }

  /** Sends all updates anew on each connection, because the peer may have lost its state. */
  private async sendUpdates(connection: MessageConnection): Promise<void> {
    const { daemons, livenessReports } = this.parts;
    this.connectedToPeer = NO_CONTROLLERS;
    this.daemonPosition = 0;
    this.livenessReportPosition = 0;
    this.lastSentAt = Number.NEGATIVE_INFINITY;
    while (!this.stopped.signal.aborted) {
      const nextUpdate = this.updates.wait(KEEP_ALIVE_INTERVAL_MS);
      const messages = this.nextMessages();
      this.daemonPosition = daemons.position;
      this.livenessReportPosition = livenessReports.position;
      for (let start = 0; start < messages.length; start += MESSAGES_PER_FRAME) {
        const batch = messages.slice(start, start + MESSAGES_PER_FRAME);
        await connection.send(EXCHANGE_CODEC.encodeBatch(batch));
        this.lastSentAt = this.parts.environment.clock.now();
      }
      await nextUpdate;
      await this.pause(BATCH_INTERVAL_MS);
    }
  }

  /**
   * Reads the peer's answers, and closes the connection when they stop. Without
   * that, a connection that survived a long partition would carry no data until
   * TCP's next retransmission, minutes after the partition has healed.
   */
  private async receiveAnswers(connection: MessageConnection): Promise<void> {
    const guard = new SilenceGuard(this.parts.environment.clock, connection, EXCHANGE_SILENCE_MS);
    void guard.run();
    try {
      for (;;) {
        const frame = await connection.receive();
        if (frame === undefined) break;
        guard.recordReceived();
        for (const message of EXCHANGE_CODEC.decodeBatch(frame, this.memberId)) {
          if (message.kind === 'hearing') this.handleHearing(parseHearing(message));
        }
      }
    } catch {
      // The connection broke, or the peer sent something that is not an answer: close it.
    }
    connection.close();
  }

  private handleHearing(connected: ReadonlySet<string>): void {
    const hasDisconnected = [...this.connectedToPeer].some((memberId) => !connected.has(memberId));
    this.connectedToPeer = connected;
    if (!hasDisconnected) return;
    // The peer lost a controller that sent it daemon records directly: send these from here.
    this.daemonPosition = 0;
    this.updates.notify();
  }

  private shouldSend({ controller }: DaemonRecord): boolean {
    if (controller === this.parts.identity.name) return true;
    return controller !== this.memberId && !this.connectedToPeer.has(controller);
  }

  private collectUpdates(): ExchangeMessage[] {
    const daemons = this.parts.daemons
      .changedAfter(this.daemonPosition)
      .filter(({ record }) => this.shouldSend(record))
      .map(({ record, silentMs }) => ({ kind: 'daemon' as const, ...record, silentMs }));
    const livenessReports = this.parts.livenessReports
      .changedAfter(this.livenessReportPosition)
      .map(({ scope, report }) => ({ kind: 'scopedSign' as const, scope, ...report }));
    return this.parts.faults?.withholdReports === true ? [] : [...daemons, ...livenessReports];
  }

  /** Updates for the peer; a keep-alive if there are none and it is due; otherwise nothing. */
  private nextMessages(): ExchangeMessage[] {
    const messages = this.collectUpdates();
    if (messages.length > 0) return messages;
    const isSilent = this.parts.environment.clock.now() - this.lastSentAt >= KEEP_ALIVE_INTERVAL_MS;
    return isSilent ? [{ kind: 'keepAlive' }] : [];
  }

  private async pause(milliseconds: number): Promise<void> {
    await this.parts.environment.clock
      .sleep(milliseconds, this.stopped.signal)
      .catch(() => undefined);
  }
}
