/**
 * A gateway's connection to the owner of the tenants' tokens. It asks any controller, goes on to
 * the one that this names, and is kept open. One frame is unanswered at most; an owner that does
 * not answer in time is cut off or frozen, and is looked for anew.
 */
import { Notifier } from '../consensus/notifier.js';
import type { Logger } from '../observability/logger.js';
import { dial } from '../protocol/dial.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { QuotaClient } from './quota-client.js';
import { QUOTA_CODEC, type QuotaMessage } from './quota-messages.js';
import type { QuotaClientMetrics } from './quota-metrics.js';

/** Longest time to open a connection; a machine without power answers nothing. Milliseconds. */
const DIAL_TIMEOUT_MS = 300;
/** Longest wait for the answer to a frame, pauses of a busy owner included. Milliseconds. */
const ANSWER_TIMEOUT_MS = 600;
/** Without questions the owner is asked this often whether it still answers. Milliseconds. */
const IDLE_ROUND_MS = 1_000;
/** Pause before another controller is asked; jittered, and doubled each time up to the most. Milliseconds. */
const FIRST_REDIAL_MS = 50;
const LONGEST_REDIAL_MS = 400;
/** While a controller knows of no owner it is asked again this often, which costs less than dialling. Milliseconds. */
const OWNERLESS_ROUND_MS = 150;
/** How often requests that wait are looked at. Milliseconds. */
const EXPIRY_INTERVAL_MS = 100;
/** A controller that did not answer is not asked for so long if another is known. Milliseconds. */
const AVOIDED_MS = 1_500;
/** Controllers that are gone on to without a pause: two that name each other would be asked forever. */
const MAXIMUM_HOPS = 2;

/** What a link is made of. */
export interface QuotaLinkOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly metrics: QuotaClientMetrics;
  readonly client: QuotaClient;
  /** `host:port` of the controllers that are known. */
  readonly controllers: () => readonly string[];
}

/** See the module comment. */
export class QuotaLink {
  isConnected = false;
  private readonly stopped = new AbortController();
  private readonly news: Notifier;
  private connection: MessageConnection | undefined;
  /** Named by the controller that was asked last. */
  private named = '';
  /** Did not answer when it was tried last: others go before it for a while. */
  private avoided = '';
  private avoidedUntil = -Infinity;
  private hasTimedOut = false;
  private lastOwner = '';
  private failures = 0;
  private hops = 0;
  private round = 0;
  private isExpiring = false;
  private readonly finished: Promise<void>;

  constructor(private readonly options: QuotaLinkOptions) {
    this.news = new Notifier(options.environment.clock);
    this.finished = this.run();
  }

  /** There may be something to ask, or requests that wait. */
  notify(): void {
    this.news.notify();
    if (!this.isExpiring && this.options.client.hasWaiting) void this.expireWaiting();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.connection?.close();
    this.news.close();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const address = this.nextAddress();
      if (address !== undefined) await this.tryFollow(address);
      if (this.named !== '' && this.hops < MAXIMUM_HOPS) {
        this.hops += 1;
        continue;
      }
      this.hops = 0;
      await this.pause();
    }
  }

  /** The one that was named, else any. */
  private nextAddress(): string | undefined {
    const { environment, controllers } = this.options;
    const { named } = this;
    this.named = '';
    if (named !== '') return named;
    const all = controllers();
    const others = all.filter((address) => !this.isAvoided(address));
    const known = others.length > 0 ? others : all;
    return known[environment.random.nextInteger(0, Math.max(0, known.length - 1))];
  }

  private async tryFollow(address: string): Promise<void> {
    const { environment, identity, client, logger } = this.options;
    let reason = 'closed';
    try {
      const target = { address: parseAddress(address), role: 'quota' } as const;
      const connectTimeout = DIAL_TIMEOUT_MS;
      this.connection = await dial(environment, identity, { ...target, connectTimeout });
      await this.follow(this.connection, address);
    } catch (error) {
      reason = String(error);
    }
    this.connection?.close();
    this.connection = undefined;
    this.chooseNext(address);
    if (!this.isConnected) return;
    this.isConnected = false;
    client.lost();
    if (this.stopped.signal.aborted) return;
    logger.warn('owner of limits lost', { owner: address, reason });
  }

  /** A connection that was only reset is opened again; who did not answer is avoided. */
  private chooseNext(address: string): void {
    if (this.named !== '') return;
    if (this.isConnected && !this.hasTimedOut) this.named = address;
    else this.avoid(address);
    this.hasTimedOut = false;
  }

  private avoid(address: string): void {
    this.avoided = address;
    this.avoidedUntil = this.options.environment.clock.now() + AVOIDED_MS;
  }

  private isAvoided(address: string): boolean {
    return address === this.avoided && this.options.environment.clock.now() < this.avoidedUntil;
  }

  private async follow(connection: MessageConnection, address: string): Promise<void> {
    let isClosed = false;
    void connection.closed.then(() => {
      isClosed = true;
      this.news.notify();
    });
    while (!this.stopped.signal.aborted && !isClosed) {
      const asks = this.isConnected ? this.options.client.takeAsks() : [];
      const answers = await this.exchange(connection, address, asks);
      if (answers === undefined) {
        if (isClosed || this.isConnected || this.named !== '') return;
        await this.pauseWithoutOwner();
        continue;
      }
      if (!this.isConnected) this.noteOwner(address);
      for (const answer of answers) this.take(answer, address);
      this.options.client.endRound();
      if (!this.options.client.hasAsks) await this.news.wait(IDLE_ROUND_MS);
    }
  }

  /** Undefined when the controller is not the owner, or the connection has ended. */
  private async exchange(
    connection: MessageConnection,
    address: string,
    asks: readonly QuotaMessage[],
  ): Promise<QuotaMessage[] | undefined> {
    const { environment, metrics } = this.options;
    this.round += 1;
    const frame = QUOTA_CODEC.encodeBatch([{ kind: 'round', round: this.round }, ...asks]);
    metrics.frames.inc();
    metrics.bytes.inc(frame.length);
    const timer = environment.clock.setTimer(ANSWER_TIMEOUT_MS, () => {
      this.hasTimedOut = true;
      connection.close();
    });
    try {
      await connection.send(frame);
      const received = await connection.receive();
      if (received === undefined) return undefined;
      return this.read(QUOTA_CODEC.decodeBatch(received, address), address);
    } finally {
      timer.cancel();
    }
  }

  private read([first, ...answers]: QuotaMessage[], address: string): QuotaMessage[] | undefined {
    if (first?.kind === 'redirect') {
      const isUseful = first.owner !== address && !this.isAvoided(first.owner);
      this.named = isUseful ? first.owner : '';
      return undefined;
    }
    if (first?.kind === 'answered' && first.round === this.round) return answers;
    throw new MalformedMessageError('hear owner', address, 'not the answer to the round');
  }

  private take(answer: QuotaMessage, address: string): void {
    if (answer.kind !== 'answer') {
      throw new MalformedMessageError('hear owner', address, `unexpected ${answer.kind}`);
    }
    const { granted, pressureMs, nextTokenMs, retryAfterMs, retrySpacingMs } = answer;
    const figures = [granted, pressureMs, nextTokenMs, retryAfterMs, retrySpacingMs];
    if (!figures.every((figure) => figure >= 0 && Number.isFinite(figure))) {
      throw new MalformedMessageError('hear owner', address, 'a figure below zero or no number');
    }
    this.options.client.takeAnswer(answer);
  }

  private noteOwner(address: string): void {
    this.isConnected = true;
    this.failures = 0;
    this.hops = 0;
    this.options.client.connected();
    if (address !== this.lastOwner) this.options.logger.info('owner of limits', { owner: address });
    this.lastOwner = address;
  }

  private pauseWithoutOwner(): Promise<void> {
    const { clock, random } = this.options.environment;
    const pause = OWNERLESS_ROUND_MS * (0.5 + random.nextFloat());
    return clock.sleep(pause, this.stopped.signal).catch(() => undefined);
  }

  private async pause(): Promise<void> {
    const { clock, random } = this.options.environment;
    const longest = Math.min(FIRST_REDIAL_MS * 2 ** this.failures, LONGEST_REDIAL_MS);
    this.failures += 1;
    const pause = longest * (0.5 + random.nextFloat() / 2);
    await clock.sleep(pause, this.stopped.signal).catch(() => undefined);
  }

  private async expireWaiting(): Promise<void> {
    const { environment, client } = this.options;
    this.isExpiring = true;
    while (client.hasWaiting && !this.stopped.signal.aborted) {
      await environment.clock.sleep(EXPIRY_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
      client.expire(EXPIRY_INTERVAL_MS);
    }
    this.isExpiring = false;
  }
}
