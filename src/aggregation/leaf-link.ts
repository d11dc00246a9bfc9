/**
 * The root's connection to one leaf, opened when it is first wanted and again
 * after a loss. Gathers that are in progress when it is lost end as lost.
 */
import type { LeafGateway } from '../directory/leaf-gateway.js';
import type { GatheredParts } from '../gateway/part-source.js';
import { RECORD_BYTES } from '../gateway/merge-records.js';
import { dial } from '../protocol/dial.js';
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
  type AggregationMessage,
  type GatherMessage,
  type PartsMessage,
} from './aggregation-messages.js';
import { readPositions, readStrings } from './json-list.js';

/** Longest time to open a connection; a leaf without power answers nothing. Milliseconds. */
const DIAL_TIMEOUT_MS = 300;
/** Pause before a leaf that could not be reached is dialled again; doubled each time, up to the most. Milliseconds. */
const INITIAL_BACKOFF_MS = 200;
const MAXIMUM_BACKOFF_MS = 3_000;
/** A leaf that had this long for a gather and said nothing is cut off or frozen. Milliseconds. */
export const SILENCE_TIMEOUT_MS = 1_000;

/** What the root hears of one gather. */
export interface GatherListener {
  onReport(parts: GatheredParts, message: PartsMessage): void;
  onDeclined(reason: string): void;
  /** The connection ended; the leaf may have asked replicas. */
  onLost(): void;
}

/** What all links of a root share. */
export interface LeafLinkOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
}

/** What a leaf is asked to do. */
export interface GatherCall extends Omit<GatherMessage, 'kind' | 'gatherId' | 'shards'> {
  /** Whether the leaf itself asks the shards, or has others of its zone ask them. */
  readonly kind: 'gather' | 'relay';
  /** An encoded `RequestMessage`. */
  readonly request: Uint8Array;
  readonly shards: readonly string[];
  /** Greatest records that a report may hold. */
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
  /** Allows the leaf second sendings; see `GrantMessage`. */
  grant(): void;
  /** The result is not wanted any more; the listener hears nothing further. */
  cancel(): void;
}

/** See the module comment. */
export class LeafLink {
  /** Said that it is about to stop, on this connection. */
  isStopping = false;
  /** Gathers in progress at the leaf, for all roots, as it last said. */
  reportedLoad = 0;
  reportedAt = -Infinity;
  private connection: MessageConnection | undefined;
  private isDialling = false;
  private isClosed = false;
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

  /** Opens the connection, unless it is open or was lost a moment ago. */
  connect(): void {
    const { clock } = this.options.environment;
    if (this.isOpen || this.isDialling || this.isClosed || clock.now() < this.redialAt) return;
    this.isDialling = true;
    void this.run();
  }

  close(): void {
    this.isClosed = true;
    this.connection?.close();
  }

  /** Closes a connection over which a gather has waited for too long; called now and then. */
  closeIfSilent(): void {
    const now = this.options.environment.clock.now();
    const [oldest] = this.gathers.values();
    if (oldest === undefined) return;
    const silentSince = Math.max(this.lastReceivedAt, oldest.startedAt);
    if (now - silentSince > SILENCE_TIMEOUT_MS) this.connection?.close();
  }

  /** Sends a gather; undefined while the connection is not open. */
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
    this.sendFrame(connection, Buffer.concat([request, gather]));
    return {
      grant: () => this.send(connection, { kind: 'grant', gatherId }),
      cancel: () => this.cancel(connection, gatherId),
    };
  }

  private cancel(connection: MessageConnection, gatherId: number): void {
    if (this.gathers.delete(gatherId)) this.send(connection, { kind: 'cancel', gatherId });
  }

  private send(connection: MessageConnection, message: AggregationMessage): void {
    this.sendFrame(connection, AGGREGATION_CODEC.encode(message));
  }

  private sendFrame(connection: MessageConnection, frame: Uint8Array): void {
    // A connection that broke ends the task that reads it, which ends its gathers.
    connection.send(frame).catch(() => undefined);
  }

  private async run(): Promise<void> {
    const { environment, identity, logger } = this.options;
    const { address: text, name } = this.leaf;
    let reason = 'closed by the leaf';
    try {
      const address = parseAddress(text);
      const target = { address, role: 'aggregation', connectTimeout: DIAL_TIMEOUT_MS } as const;
      const connection = this.withMetering(await dial(environment, identity, target));
      this.isDialling = false;
      if (this.isClosed) connection.close();
      this.connection = connection;
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
    if (wasOpen && !this.isClosed) logger.info('leaf lost', { leaf: name, reason });
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
        throw new MalformedMessageError('hear leaf', this.leaf.name, `unexpected ${message.kind}`);
    }
  }

  /** A report of a gather that was cancelled or has ended belongs to nobody. */
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
      throw new MalformedMessageError('hear leaf', name, 'parts and records do not fit');
    }
    const shards = positions.map((position) => gather.shards[position] ?? '');
    return { shards, signatures, records: message.records };
  }
}
