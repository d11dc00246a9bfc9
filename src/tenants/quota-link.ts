/**
 * A gateway's persistent connection to the quota owner. It contacts any controller and follows the
 * redirect to the owner. At most one frame is in flight. An owner that doesn't respond in time is
 * treated as unreachable or frozen, and the search for an owner starts again.
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
import { packRequests, readResponses } from './quota-frames.js';
import {
  QUOTA_CODEC,
  type QuotaMessage,
  type TokenRequest,
  type TokenResponse,
} from './quota-messages.js';
import type { QuotaClientMetrics } from './quota-metrics.js';

/** Timeout for opening a connection; a machine that is powered off doesn't even refuse it. */
const DIAL_TIMEOUT_MS = 300;
/** Timeout for the response to a frame; allows for pauses of a busy owner. */
const RESPONSE_TIMEOUT_MS = 600;
/** Interval of the heartbeat rounds to the owner while there are no token requests. */
const IDLE_ROUND_MS = 1_000;
/** Exponential backoff with jitter between connection attempts. */
const INITIAL_RECONNECT_DELAY_MS = 50;
const MAXIMUM_RECONNECT_DELAY_MS = 400;
/** Interval of the rounds to a controller that knows no owner; cheaper than reconnecting. */
const OWNERLESS_ROUND_MS = 150;
/** Longest interval between checks for waiting requests whose deadline has passed. */
const MAXIMUM_EXPIRY_INTERVAL_MS = 100;
/** Time for which a controller that didn't respond is avoided if another one is known. */
const AVOIDANCE_MS = 1_500;
/**
 * Redirects and reconnects without a delay; bounded because two controllers could redirect to each
 * other forever.
 */
const MAXIMUM_REDIRECTS = 2;

/** Dependencies of a {@link QuotaLink}. */
export interface QuotaLinkOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly metrics: QuotaClientMetrics;
  readonly client: QuotaClient;
  /** Addresses of the known controllers, as `host:port`. */
  readonly controllers: () => readonly string[];
}

/** Connects on construction and stays connected until {@link QuotaLink.stop} is called. */
export class QuotaLink {
  isConnected = false;
  private readonly stopped = new AbortController();
  private readonly wake: Notifier;
  /** Wakes the task that refuses waiting requests at their deadlines. */
  private readonly expiryWake: Notifier;
  private connection: MessageConnection | undefined;
  /**
   * Address to connect to next, from a redirect or for a reconnect; empty when any controller may
   * be chosen.
   */
  private nextController = '';
  /** Address of the controller that last failed to respond; others are preferred until `avoidedUntil`. */
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
    this.expiryWake = new Notifier(options.environment.clock);
    this.finished = this.run();
  }

  /** Signals that token requests may be queued or requests waiting. */
  notify(): void {
    this.wake.notify();
    this.expiryWake.notify();
    if (!this.isExpiring && this.options.client.hasWaiting) void this.expireWaiting();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.connection?.close();
    this.wake.close();
    this.expiryWake.close();
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

  /**
   * Chooses the next controller: the one to which the last redirect or reconnect points, otherwise
   * a random one.
   */
  private chooseAddress(): string | undefined {
    const { environment, controllers } = this.options;
    const { nextController } = this;
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
      const { signal } = this.stopped;
      const target = { address: parseAddress(address), role: 'quota', signal } as const;
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
    logger.warn('quota owner lost', { owner: address, reason });
  }

  /** Reconnects to an owner whose connection was only reset; avoids a controller that didn't respond. */
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

  /** Exchanges one round; undefined when the controller isn't the owner or the connection has closed. */
  private async exchange(
    connection: MessageConnection,
    address: string,
    requests: readonly TokenRequest[],
  ): Promise<TokenResponse[] | undefined> {
    const { environment, metrics } = this.options;
    this.round += 1;
    const messages = packRequests(requests);
    const frame = QUOTA_CODEC.encodeBatch([{ kind: 'round', round: this.round }, ...messages]);
    metrics.frames.inc();
    metrics.bytes.inc(frame.length);
    const expire = (): void => {
      this.hasTimedOut = true;
      connection.close();
    };
    const timer = environment.clock.setTimer(RESPONSE_TIMEOUT_MS, expire, { afterReading: true });
    try {
      await connection.send(frame);
      const received = await connection.receive();
      if (received === undefined) return undefined;
      return this.readRound(QUOTA_CODEC.decodeBatch(received, address), address);
    } finally {
      timer.cancel();
    }
  }

  private readRound(
    [first, ...messages]: QuotaMessage[],
    address: string,
  ): TokenResponse[] | undefined {
    if (first?.kind === 'redirect') {
      const isUsable = first.owner !== address && !this.isAvoided(first.owner);
      this.nextController = isUsable ? first.owner : '';
      return undefined;
    }
    if (first?.kind === 'answered' && first.round === this.round)
      return readResponses(messages, address);
    throw new MalformedMessageError(
      'receive from quota owner',
      address,
      'expected the response to the round in flight, received another message',
    );
  }

  private handleResponse(response: TokenResponse, address: string): void {
    const { granted, pressureMs, nextTokenMs, retryAfterMs, retrySpacingMs } = response;
    const values = [granted, pressureMs, nextTokenMs, retryAfterMs, retrySpacingMs];
    if (!values.every((value) => value >= 0 && Number.isFinite(value))) {
      throw new MalformedMessageError(
        'receive from quota owner',
        address,
        'expected finite values of 0 or more in a token response',
      );
    }
    try {
      this.options.client.handleResponse(response);
    } catch (error) {
      throw new MalformedMessageError('receive from quota owner', address, String(error), error);
    }
  }

  private handleOwnerFound(address: string): void {
    this.isConnected = true;
    this.failedAttempts = 0;
    this.redirects = 0;
    this.options.client.handleConnected();
    if (address !== this.lastOwner)
      this.options.logger.info('quota owner found', { owner: address });
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

  /** Refuses each waiting request at its deadline, until none waits. */
  private async expireWaiting(): Promise<void> {
    const { environment, client } = this.options;
    const { clock } = environment;
    this.isExpiring = true;
    while (client.hasWaiting && !this.stopped.signal.aborted) {
      const nextMs = client.earliestDeadline - clock.now();
      await this.expiryWake.wait(Math.min(Math.max(nextMs, 1), MAXIMUM_EXPIRY_INTERVAL_MS));
      client.expireWaiting(0);
    }
    this.isExpiring = false;
  }
}
