/**
 * A root's link to one leaf: a connection that is opened on demand and reopened with exponential
 * backoff after a loss. Gathers in progress when the connection is lost end as lost.
 */
import type { LeafGateway } from '../directory/leaf-gateway.js';
import type { GatheredParts } from '../gateway/part-source.js';
import { RECORD_BYTES } from '../gateway/merge-records.js';
import { dialPeer } from '../protocol/dial.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import { MeteredConnection } from '../protocol/metered-connection.js';
import type { Logger } from '../observability/logger.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import {
  AGGREGATION_CODEC,
  SEND_TIME_SINCE_VERSION,
  type AggregationMessage,
  type GatherMessage,
  type PartsMessage,
} from './aggregation-messages.js';
import { readPositions, readStrings } from './json-list.js';
import { sendOrClose } from './send-or-close.js';

/** Connect timeout; a leaf without power does not even refuse connections. */
const DIAL_TIMEOUT_MS = 300;
/**
 * Backoff before an unreachable leaf is dialled again; doubles with each failure up to the maximum.
 */
const INITIAL_BACKOFF_MS = 200;
const MAXIMUM_BACKOFF_MS = 3_000;
/**
 * A leaf that sends nothing for this long while a gather is in progress is taken for unreachable or
 * frozen.
 */
export const SILENCE_TIMEOUT_MS = 1_000;

/** Receives the events of one gather at the root. */
export interface GatherListener {
  onReport(parts: GatheredParts, message: PartsMessage): void;
  onDeclined(reason: string): void;
  /** The connection was lost; the leaf may have sent requests to replicas. */
  onLost(): void;
}

/** Dependencies that all links of a root share. */
export interface LeafLinkOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
}

/** A gather or relay to send to a leaf. */
export interface GatherCall extends Omit<GatherMessage, 'kind' | 'gatherId' | 'shards'> {
  /**
   * `gather`: the leaf queries the shards itself; `relay`: it has leaves of its zone query them.
   */
  readonly kind: 'gather' | 'relay';
  /** An encoded `RequestMessage`. */
  readonly request: Uint8Array;
  readonly shards: readonly string[];
  /** Maximum number of records in a report. */
  readonly topRecords: number;
}

interface OpenGather {
  readonly shards: readonly string[];
  readonly topRecords: number;
  readonly startedAt: number;
  readonly listener: GatherListener;
}

/** A gather in progress. */
export interface GatherHandle {
  /** Permits the leaf attempts to further replicas; see `GrantMessage`. */
  grant(): void;
  /** Cancels the gather; its listener is not called any more. */
  cancel(): void;
  /** Whether the leaf has sent anything since it was sent the gather; it is then alive. */
  hasHeardSince(): boolean;
}

/** The link stays usable after a loss of its connection, until {@link close}. */
export class LeafLink {
  /** Whether the leaf announced on this connection that it is draining. */
  isStopping = false;
  /** Number of gathers in progress at the leaf, for all roots, as of its last report. */
  reportedLoad = 0;
  reportedAt = -Infinity;
  private connection: MessageConnection | undefined;
  /** Whether the leaf understands `SendTimeMessage`. */
  private takesSendTime = false;
  private isDialling = false;
  private readonly closed = new AbortController();
  private failedDials = 0;
  private redialAt = -Infinity;
  private nextGatherId = 1;
  private lastReceivedAt = -Infinity;
  private readonly gathers = new Map<number, OpenGather>();

  constructor(
    private readonly options: LeafLinkOptions,
    readonly leaf: LeafGateway,
  ) {}

  get isOpen(): boolean {
    return this.connection !== undefined;
  }

  get inProgress(): number {
    return this.gathers.size;
  }

  /** Opens the connection unless it is open, being opened or in backoff. */
  connect(): void {
    const { clock } = this.options.environment;
    if (this.isOpen || this.isDialling || this.isClosed || clock.now() < this.redialAt) return;
    this.isDialling = true;
    void this.run();
  }

  close(): void {
    this.closed.abort(new Error('closed'));
    this.connection?.close();
  }

  private get isClosed(): boolean {
    return this.closed.signal.aborted;
  }

  /**
   * Closes the connection when the oldest gather has waited too long for any message; called
   * periodically.
   */
  closeIfSilent(): void {
    const now = this.options.environment.clock.now();
    const [oldest] = this.gathers.values();
    if (oldest === undefined) return;
    const silentSince = Math.max(this.lastReceivedAt, oldest.startedAt);
    if (now - silentSince > SILENCE_TIMEOUT_MS) this.connection?.close();
  }

  /** Sends a gather; returns undefined while the connection is not open. */
  gather(call: GatherCall, listener: GatherListener): GatherHandle | undefined {
    const { connection } = this;
    if (connection === undefined) return undefined;
    const gatherId = this.nextGatherId;
    this.nextGatherId += 1;
    const { request, shards, topRecords, ...terms } = call;
    const startedAt = this.options.environment.clock.now();
    this.gathers.set(gatherId, { shards, topRecords, startedAt, listener });
    const text = JSON.stringify(shards);
    const gather = AGGREGATION_CODEC.encode({ gatherId, shards: text, ...terms });
    sendOrClose(connection, Buffer.concat([request, gather, ...this.sendTime()]));
    return {
      grant: () => this.send(connection, { kind: 'grant', gatherId }),
      cancel: () => this.cancel(connection, gatherId),
      hasHeardSince: () => this.lastReceivedAt > startedAt,
    };
  }

  /** The encoded send time; empty for a leaf that does not understand it. */
  private sendTime(): readonly Uint8Array[] {
    if (!this.takesSendTime) return [];
    const sentAt = this.options.environment.clock.now();
    return [AGGREGATION_CODEC.encode({ kind: 'sendTime', sentAt })];
  }

  private cancel(connection: MessageConnection, gatherId: number): void {
    if (this.gathers.delete(gatherId)) this.send(connection, { kind: 'cancel', gatherId });
  }

  private send(connection: MessageConnection, message: AggregationMessage): void {
    sendOrClose(connection, AGGREGATION_CODEC.encode(message));
  }

  private async run(): Promise<void> {
    const { environment, identity, logger } = this.options;
    const { address: text, name } = this.leaf;
    let reason = 'closed by the leaf';
    try {
      const address = parseAddress(text);
      const { signal } = this.closed;
      const connectTimeout = DIAL_TIMEOUT_MS;
      const target = { address, role: 'aggregation', connectTimeout, signal } as const;
      const dialled = await dialPeer(environment, identity, target);
      const connection = this.withMetering(dialled.connection);
      this.isDialling = false;
      if (this.isClosed) connection.close();
      this.connection = connection;
      this.takesSendTime = dialled.protocolVersion >= SEND_TIME_SINCE_VERSION;
      for (const frame of this.sendTime()) sendOrClose(connection, frame);
      this.isStopping = false;
      this.failedDials = 0;
      await this.receive(connection);
    } catch (error) {
      reason = String(error);
    }
    const wasOpen = this.isOpen;
    this.isDialling = false;
    this.connection?.close();
    this.connection = undefined;
    this.startBackoff();
    if (wasOpen && !this.isClosed) logger.info('connection to leaf lost', { leaf: name, reason });
    this.failGathers();
  }

  private withMetering(connection: MessageConnection): MessageConnection {
    const { traffic } = this.options;
    return new MeteredConnection(connection, {
      kindOf: (frame) => `aggregation_${AGGREGATION_CODEC.kindOf(frame)}`,
      note: (note) => traffic.note(this.leaf.zone, note),
    });
  }

  private startBackoff(): void {
    const { clock, random } = this.options.environment;
    const backoff = Math.min(INITIAL_BACKOFF_MS * 2 ** this.failedDials, MAXIMUM_BACKOFF_MS);
    this.failedDials += 1;
    this.redialAt = clock.now() + backoff * (0.5 + random.nextFloat() / 2);
  }

  private failGathers(): void {
    const lost = [...this.gathers.values()];
    this.gathers.clear();
    for (const { listener } of lost) listener.onLost();
  }

  private async receive(connection: MessageConnection): Promise<void> {
    for (;;) {
      const frame = await connection.receive();
      if (frame === undefined) return;
      this.lastReceivedAt = this.options.environment.clock.now();
      this.handleMessage(AGGREGATION_CODEC.decode(frame, this.leaf.name));
    }
  }

  private handleMessage(message: AggregationMessage): void {
    switch (message.kind) {
      case 'parts':
        this.handleParts(message);
        return;
      case 'declined': {
        const gather = this.gathers.get(message.gatherId);
        this.gathers.delete(message.gatherId);
        gather?.listener.onDeclined(message.reason);
        return;
      }
      case 'stopping':
        this.isStopping = true;
        return;
      default:
        throw new MalformedMessageError(
          'receive from leaf',
          this.leaf.name,
          `unexpected message ${message.kind}`,
        );
    }
  }

  /** Ignores reports of gathers that were cancelled or have ended, except for the leaf's load. */
  private handleParts(message: PartsMessage): void {
    this.reportedLoad = message.gathersInProgress;
    this.reportedAt = this.lastReceivedAt;
    const gather = this.gathers.get(message.gatherId);
    if (gather === undefined) return;
    const parts = this.readParts(gather, message);
    if (message.isLast) this.gathers.delete(message.gatherId);
    gather.listener.onReport(parts, message);
  }

  private readParts(gather: OpenGather, message: PartsMessage): GatheredParts {
    const { name } = this.leaf;
    const positions = readPositions(message.shards, gather.shards.length, name, 'shards');
    const signatures = readStrings(message.signatures, name, 'signatures');
    const { length } = message.records;
    const isValidLength = length % RECORD_BYTES === 0 && length <= gather.topRecords * RECORD_BYTES;
    if (signatures.length !== positions.length || !isValidLength) {
      throw new MalformedMessageError(
        'receive from leaf',
        name,
        'expected one signature per shard and at most the requested number of whole records',
      );
    }
    const shards = positions.map((position) => gather.shards[position] ?? '');
    return { shards, signatures, records: message.records };
  }
}
