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
const RESPONSE_TIMEOUT_MS = 600;
/** Without questions the owner is asked this often whether it still answers. Milliseconds. */
const IDLE_ROUND_MS = 1_000;
/** Pause before another controller is asked; jittered, and doubled each time up to the most. Milliseconds. */
const INITIAL_RECONNECT_DELAY_MS = 50;
const MAXIMUM_RECONNECT_DELAY_MS = 400;
/** While a controller knows of no owner it is asked again this often, which costs less than dialling. Milliseconds. */
const OWNERLESS_ROUND_MS = 150;
/** How often requests that wait are looked at. Milliseconds. */
const EXPIRY_INTERVAL_MS = 100;
/** A controller that did not answer is not asked for so long if another is known. Milliseconds. */
const AVOIDANCE_MS = 1_500;
/** Controllers that are gone on to without a pause: two that name each other would be asked forever. */
const MAXIMUM_REDIRECTS = 2;

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
  private readonly wake: Notifier;
  private connection: MessageConnection | undefined;
  /** Named by the controller that was asked last. */
  private nextController = '';
  /** Did not answer when it was tried last: others go before it for a while. */
  private avoidedAddress = '';
  private avoidedUntil = -Infinity;
  private hasTimedOut = false;
  private lastOwner = '';
  private failedAttempts = 0;
  private redirects = 0;
  private round = 0;
  private isExpiring = false;
  private readonly finished: Promise<void>;

  constructor(private readonly options: QuotaLinkOptions) {
    this.wake = new Notifier(options.environment.clock);
    this.finished = this.run();
  }

  /** There may be something to ask, or requests that wait. */
  notify(): void {
    this.wake.notify();
    if (!this.isExpiring && this.options.client.hasWaiting) void this.expireWaiting();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.connection?.close();
    this.wake.close();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const address = this.chooseAddress();
      if (address !== undefined) await this.runConnection(address);
      if (this.nextController !== '' && this.redirects < MAXIMUM_REDIRECTS) {
        this.redirects += 1;
        continue;
      }
      this.redirects = 0;
      await this.waitBeforeReconnect();
    }
  }

  /** The one that was named, else any. */
  private chooseAddress(): string | undefined {
    const { environment, controllers } = this.options;
    const { nextController: nextController } = this;
    this.nextController = '';
    if (nextController !== '') return nextController;
    const all = controllers();
    const others = all.filter((address) => !this.isAvoided(address));
    const candidates = others.length > 0 ? others : all;
    return candidates[environment.random.nextInteger(0, Math.max(0, candidates.length - 1))];
  }

  private async runConnection(address: string): Promise<void> {
    const { environment, identity, client, logger } = this.options;
    let reason = 'closed';
    try {
      const target = { address: parseAddress(address), role: 'quota' } as const;
      const connectTimeout = DIAL_TIMEOUT_MS;
      this.connection = await dial(environment, identity, { ...target, connectTimeout });
      await this.runRounds(this.connection, address);
    } catch (error) {
      reason = String(error);
    }
    this.connection?.close();
    this.connection = undefined;
    this.planReconnect(address);
    if (!this.isConnected) return;
    this.isConnected = false;
    client.handleDisconnected();
    if (this.stopped.signal.aborted) return;
    logger.warn('owner of limits lost', { owner: address, reason });
  }

  /** A connection that was only reset is opened again; who did not answer is avoided. */
  private planReconnect(address: string): void {
    if (this.nextController !== '') return;
    if (this.isConnected && !this.hasTimedOut) this.nextController = address;
    else this.avoid(address);
    this.hasTimedOut = false;
  }

  private avoid(address: string): void {
    this.avoidedAddress = address;
    this.avoidedUntil = this.options.environment.clock.now() + AVOIDANCE_MS;
  }

  private isAvoided(address: string): boolean {
    return (
      address === this.avoidedAddress && this.options.environment.clock.now() < this.avoidedUntil
    );
  }

  private async runRounds(connection: MessageConnection, address: string): Promise<void> {
    let isClosed = false;
    void connection.closed.then(() => {
      isClosed = true;
      this.wake.notify();
    });
    while (!this.stopped.signal.aborted && !isClosed) {
      const requests = this.isConnected ? this.options.client.takeRequests() : [];
      const responses = await this.exchange(connection, address, requests);
      if (responses === undefined) {
        if (isClosed || this.isConnected || this.nextController !== '') return;
        await this.waitForOwner();
        continue;
      }
      if (!this.isConnected) this.handleOwnerFound(address);
      for (const response of responses) this.handleResponse(response, address);
      this.options.client.endRound();
      if (!this.options.client.hasRequests) await this.wake.wait(IDLE_ROUND_MS);
    }
  }

  /** Undefined when the controller is not the owner, or the connection has ended. */
  private async exchange(
    connection: MessageConnection,
    address: string,
    requests: readonly QuotaMessage[],
  ): Promise<QuotaMessage[] | undefined> {
    const { environment, metrics } = this.options;
    this.round += 1;
    const frame = QUOTA_CODEC.encodeBatch([{ kind: 'round', round: this.round }, ...requests]);
    metrics.frames.inc();
    metrics.bytes.inc(frame.length);
    const timer = environment.clock.setTimer(RESPONSE_TIMEOUT_MS, () => {
      this.hasTimedOut = true;
      connection.close();
    });
    try {
      await connection.send(frame);
      const received = await connection.receive();
      if (received === undefined) return undefined;
      return this.readResponses(QUOTA_CODEC.decodeBatch(received, address), address);
    } finally {
      timer.cancel();
    }
  }

  private readResponses(
    [first, ...responses]: QuotaMessage[],
    address: string,
  ): QuotaMessage[] | undefined {
    if (first?.kind === 'redirect') {
      const isUsable = first.owner !== address && !this.isAvoided(first.owner);
      this.nextController = isUsable ? first.owner : '';
      return undefined;
    }
    if (first?.kind === 'answered' && first.round === this.round) return responses;
    throw new MalformedMessageError('hear owner', address, 'not the answer to the round');
  }

  private handleResponse(response: QuotaMessage, address: string): void {
    if (response.kind !== 'answer') {
      throw new MalformedMessageError('hear owner', address, `unexpected ${response.kind}`);
    }
    const { granted, pressureMs, nextTokenMs, retryAfterMs, retrySpacingMs } = response;
    const values = [granted, pressureMs, nextTokenMs, retryAfterMs, retrySpacingMs];
    if (!values.every((value) => value >= 0 && Number.isFinite(value))) {
      throw new MalformedMessageError('hear owner', address, 'a figure below zero or no number');
    }
    this.options.client.handleResponse(response);
  }

  private handleOwnerFound(address: string): void {
    this.isConnected = true;
    this.failedAttempts = 0;
    this.redirects = 0;
    this.options.client.handleConnected();
    if (address !== this.lastOwner) this.options.logger.info('owner of limits', { owner: address });
    this.lastOwner = address;
  }

  private waitForOwner(): Promise<void> {
    const { clock, random } = this.options.environment;
    const delayMs = OWNERLESS_ROUND_MS * (0.5 + random.nextFloat());
    return clock.sleep(delayMs, this.stopped.signal).catch(() => undefined);
  }

  private async waitBeforeReconnect(): Promise<void> {
    const { clock, random } = this.options.environment;
    const maximumDelayMs = Math.min(
      INITIAL_RECONNECT_DELAY_MS * 2 ** this.failedAttempts,
      MAXIMUM_RECONNECT_DELAY_MS,
    );
    this.failedAttempts += 1;
    const delayMs = maximumDelayMs * (0.5 + random.nextFloat() / 2);
    await clock.sleep(delayMs, this.stopped.signal).catch(() => undefined);
  }

  private async expireWaiting(): Promise<void> {
    const { environment, client } = this.options;
    this.isExpiring = true;
    while (client.hasWaiting && !this.stopped.signal.aborted) {
      await environment.clock.sleep(EXPIRY_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
      client.expireWaiting(EXPIRY_INTERVAL_MS);
    }
    this.isExpiring = false;
  }
}
