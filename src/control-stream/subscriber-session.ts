/** One daemon's stream at the controller that it follows: one task sends, one receives. */
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { DaemonDirectory } from './daemon-directory.js';
import type { DaemonRecord } from './daemon-record.js';
import type { ServerMetrics } from './server-metrics.js';
import type { SharedReadBarrier } from './shared-read-barrier.js';
import { scopeOf, type LivenessReportTable } from './liveness-report-table.js';
import { SilenceGuard } from './silence-guard.js';
import { fromLivenessReportMessage } from './liveness-report-message.js';
import type { BroadcastPosition, StreamBroadcast } from './stream-broadcast.js';
import {
  NO_REVISION,
  STREAM_CODEC,
  type GoodbyeReason,
  type ResyncMessage,
  type RevisionReportMessage,
  type LivenessReportMessage,
  type StreamMessage,
  type SubscribeMessage,
} from './stream-messages.js';
import { SUBSCRIBER_SILENCE_MS } from './stream-timing.js';

/** Largest frame accepted from a daemon; all messages of daemons are short. Bytes. */
export const MAXIMUM_SUBSCRIBER_FRAME_BYTES = 64 * 1024;

/** State and services that all sessions of one controller share. */
export interface SubscriberContext {
  readonly clock: Clock;
  /** Member id of the controller. */
  readonly memberId: string;
  readonly broadcast: StreamBroadcast;
  readonly barrier: SharedReadBarrier;
  readonly livenessReports: LivenessReportTable;
  readonly daemons: DaemonDirectory;
  readonly metrics: ServerMetrics;
  /** Called when there is an update to forward to other controllers. */
  readonly onUpdate: () => void;
}

/** Runs once; cannot be reused. */
export class SubscriberSession {
  private readonly position: BroadcastPosition = {
    heldRevision: NO_REVISION,
    livenessReportPosition: 0,
    heartbeatNumber: 0,
  };
  private record: DaemonRecord | undefined;
  /** Whether the daemon only probes this controller; it is then sent heartbeats only. */
  private isProbe = false;
  private snapshotRequested = false;
  private ended = false;
  private readonly guard: SilenceGuard;

  constructor(
    private readonly context: SubscriberContext,
    private readonly connection: MessageConnection,
    /** The daemon's name as authenticated in the handshake. */
    private readonly daemonName: string,
  ) {
    this.guard = new SilenceGuard(context.clock, connection, SUBSCRIBER_SILENCE_MS);
  }

  /** Resolves when the stream has ended; never rejects. */
  async run(): Promise<void> {
    // The guard also ends the stream of a daemon that does not read, since it
    // sends no reports either.
    void this.guard.run();
    let reason = 'closed';
    try {
      const subscription = await this.receiveSubscription();
      if (subscription !== undefined) await this.serve(subscription);
    } catch (error) {
      const malformed = isProtocolViolation(error);
      if (malformed) this.context.metrics.malformedFrames.inc();
      reason = malformed ? 'malformed' : 'lost';
    }
    this.end();
    this.context.metrics.streamsEnded.inc({ reason });
  }

  /** Asks the daemon to disconnect; the daemon closes the connection. Never rejects. */
  async sendGoodbye(reason: GoodbyeReason): Promise<void> {
    try {
      await this.connection.send(STREAM_CODEC.encode({ kind: 'goodbye', reason }));
    } catch {
      // The connection is already closed.
    }
  }

  end(): void {
    this.ended = true;
    this.connection.close();
    this.context.broadcast.updates.notify();
  }

  private async receiveSubscription(): Promise<SubscribeMessage | undefined> {
    const frame = await this.receiveFrame();
    if (frame === undefined) return undefined;
    const message = STREAM_CODEC.decode(frame, this.daemonName);
    if (message.kind !== 'subscribe') throw this.malformed('expected a subscribe message first');
    return message;
  }

  private async serve(subscription: SubscribeMessage): Promise<void> {
    const { barrier, broadcast, clock, daemons } = this.context;
    const { heldRevision, incarnation, zone } = subscription;
    const provenFresh = heldRevision === NO_REVISION ? await barrier.pass() : false;
    const knownIncarnation = daemons.incarnationOf(this.daemonName);
    const welcome = STREAM_CODEC.encode({
      kind: 'welcome',
      provenFresh,
      knownIncarnation,
      sourceTime: clock.now(),
    });
    await this.connection.send(welcome);
    if (knownIncarnation > incarnation) return;
    if (heldRevision === NO_REVISION && !provenFresh) return this.sendGoodbye('not_proven_fresh');
    this.position.heldRevision = heldRevision;
    this.isProbe = subscription.probe;
    if (!this.isProbe) this.register(subscription);
    // Whichever task ends first ends the stream; closing the connection then ends the other.
    await Promise.race([this.sendUpdates(zone, broadcast), this.receiveAll(zone)]);
  }

  private async sendUpdates(zone: string, broadcast: StreamBroadcast): Promise<void> {
    while (!this.ended) {
      const nextUpdate = broadcast.updates.wait(Infinity);
      for (const frame of this.nextFrames(zone, broadcast)) {
        await this.connection.send(frame);
        this.context.metrics.sentBytes.inc(frame.length);
      }
      if (!this.snapshotRequested) await nextUpdate;
    }
  }

  private nextFrames(zone: string, broadcast: StreamBroadcast): readonly Uint8Array[] {
    if (this.isProbe) return broadcast.takeHeartbeat(this.position);
    if (!this.snapshotRequested) return broadcast.takeFrames(this.position, zone);
    this.snapshotRequested = false;
    this.position.heldRevision = broadcast.history.revision;
    return [...broadcast.history.snapshotFrames(), ...broadcast.takeFrames(this.position, zone)];
  }

  private async receiveAll(zone: string): Promise<void> {
    for (;;) {
      const frame = await this.receiveFrame();
      if (frame === undefined) return;
      for (const message of STREAM_CODEC.decodeBatch(frame, this.daemonName)) {
        if (message.kind === 'goodbye') return this.handleGoodbye(message.reason as GoodbyeReason);
        this.handle(message, zone);
      }
    }
  }

  private handle(message: StreamMessage, zone: string): void {
    switch (message.kind) {
      case 'report':
        return this.handleRevisionReport(message);
      case 'sign':
        return this.handleLivenessReport(message, zone);
      case 'resync':
        return this.handleResync(message);
      default:
        throw this.malformed(`unexpected ${message.kind} message from a daemon`);
    }
  }

  private handleResync({ reason }: ResyncMessage): void {
    if (this.isProbe) throw this.malformed('expected no request for the configuration on a probe');
    this.context.metrics.resyncs.inc({ reason });
    this.snapshotRequested = true;
    this.context.broadcast.updates.notify();
  }

  private register({ incarnation, zone, version, heldRevision }: SubscribeMessage): void {
    this.update({
      name: this.daemonName,
      zone,
      version,
      incarnation,
      sequence: 0,
      revision: heldRevision,
      controller: this.context.memberId,
      left: false,
    });
  }

  private handleRevisionReport({ sequence, revision }: RevisionReportMessage): void {
    if (this.record === undefined) return;
    const { daemons, metrics } = this.context;
    const isSuperseded = daemons.incarnationOf(this.daemonName) > this.record.incarnation;
    if (isSuperseded) metrics.supersededReports.inc();
    this.update({ ...this.record, sequence, revision });
  }

  private handleGoodbye(reason: GoodbyeReason): void {
    if (reason !== 'stopping' || this.record === undefined) return;
    this.update({ ...this.record, sequence: this.record.sequence + 1, left: true });
  }

  private handleLivenessReport(message: LivenessReportMessage, zone: string): void {
    const report = fromLivenessReportMessage(message);
    if (report === undefined) throw this.malformed('expected a valid liveness report');
    const scoped = { scope: scopeOf(report, zone), report };
    if (!this.context.livenessReports.record(scoped)) return;
    this.context.broadcast.notifyAfterBatch();
    this.context.onUpdate();
  }

  private update(record: DaemonRecord): void {
    this.record = record;
    if (this.context.daemons.record(record)) this.context.onUpdate();
  }

  private async receiveFrame(): Promise<Uint8Array | undefined> {
    const frame = await this.connection.receive();
    this.guard.recordReceived();
    if (frame !== undefined && frame.length > MAXIMUM_SUBSCRIBER_FRAME_BYTES) {
      throw this.malformed(`a frame of ${frame.length} bytes exceeds the limit for daemons`);
    }
    return frame;
  }

  private malformed(message: string): MalformedMessageError {
    return new MalformedMessageError('read stream', this.daemonName, message);
  }
}
