/**
 * One session of a daemon with one controller: connect, handshake, subscribe,
 * then take what arrives until either side ends it.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import { dial } from '../protocol/dial.js';
import { HandshakeError } from '../protocol/handshake-error.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { ReplicaSign } from '../model/replica-sign.js';
import type { ClientMetrics } from './client-metrics.js';
import type { DaemonCopy } from './daemon-copy.js';
import type { SessionEnd } from './session-end.js';
import { fromSignMessage, toSignMessage } from './sign-message.js';
import { SnapshotAssembler } from './snapshot-assembler.js';
import { SourceWatch } from './source-watch.js';
import {
  NO_REVISION,
  STREAM_CODEC,
  type DeltaMessage,
  type GoodbyeMessage,
  type HeartbeatMessage,
  type ResyncReason,
  type StreamMessage,
  type WelcomeMessage,
} from './stream-messages.js';
import {
  CONNECT_TIMEOUT_MS,
  REPORT_INTERVAL_MS,
  STALE_STAY_MS,
  WATCH_INTERVAL_MS,
} from './stream-timing.js';

/** What a session needs of its daemon. */
export interface SessionContext {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly zone: string;
  readonly version: string;
  readonly copy: DaemonCopy;
  readonly metrics: ClientMetrics;
  /** Of this process; raised when an earlier process of the name showed a larger one. */
  incarnation: number;
  /** Counts reports over all sessions. */
  reportSequence: number;
}

/** Runs once. */
export class SourceSession {
  private connection: MessageConnection | undefined;
  private endReason: SessionEnd | undefined;
  private readonly watch: SourceWatch;
  private readonly assembler: SnapshotAssembler;
  private awaitingSnapshot = false;
  private readonly over = new AbortController();

  constructor(
    private readonly context: SessionContext,
    readonly endpoint: ControllerEndpoint,
    tolerateStale: boolean,
  ) {
    const { clock } = context.environment;
    const staleUntil = tolerateStale ? clock.now() + STALE_STAY_MS : Number.NEGATIVE_INFINITY;
    this.watch = new SourceWatch(clock.now(), staleUntil);
    this.assembler = new SnapshotAssembler(endpoint.memberId);
  }

  /** Resolves when the session is over; never rejects. */
  async run(): Promise<SessionEnd> {
    const connection = await this.open();
    if (connection === undefined) return this.endReason ?? 'connect_failed';
    void this.watchSource();
    void this.reportRegularly();
    try {
      await this.subscribe(connection);
      await this.receiveAll(connection);
      this.end('lost');
    } catch (error) {
      const malformed = error instanceof MalformedMessageError;
      if (malformed) this.context.metrics.malformedFrames.inc();
      this.end(malformed ? 'malformed' : 'lost');
    }
    return this.endReason ?? 'lost';
  }

  /** Ends the session for a reason of the daemon's own; the first reason stands. */
  end(reason: SessionEnd): void {
    this.endReason ??= reason;
    this.over.abort(new Error(reason));
    this.connection?.close();
  }

  /** Tells the controller before ending, so that it does not take the daemon for lost. */
  async leave(reason: 'closed' | 'returned'): Promise<void> {
    this.endReason ??= reason;
    await this.send({ kind: 'goodbye', reason: reason === 'closed' ? 'stopping' : 'moved' });
    this.end(reason);
  }

  /** Tells the controller which revision is in force. */
  report(): void {
    this.context.reportSequence += 1;
    const { reportSequence: sequence, copy } = this.context;
    void this.send({ kind: 'report', sequence, revision: copy.held.revision });
  }

  reportSign(sign: ReplicaSign): void {
    void this.send(toSignMessage(sign));
  }

  private async open(): Promise<MessageConnection | undefined> {
    const { environment, identity } = this.context;
    const { address, memberId } = this.endpoint;
    try {
      const target = {
        address,
        role: 'subscriber',
        memberId,
        connectTimeout: CONNECT_TIMEOUT_MS,
      } as const;
      this.connection = await dial(environment, identity, target);
    } catch (error) {
      this.end(error instanceof HandshakeError ? 'handshake_failed' : 'connect_failed');
      return undefined;
    }
    if (this.endReason !== undefined) {
      this.connection.close();
      return undefined;
    }
    this.watch.opened(environment.clock.now());
    return this.connection;
  }

  private async subscribe(connection: MessageConnection): Promise<void> {
    const { incarnation, zone, version, copy } = this.context;
    const heldRevision = copy.held.revision;
    await connection.send(
      STREAM_CODEC.encode({
        kind: 'subscribe',
        incarnation,
        zone,
        version,
        heldRevision,
        probe: false,
      }),
    );
    this.awaitingSnapshot = heldRevision === NO_REVISION;
  }

  private async receiveAll(connection: MessageConnection): Promise<void> {
    for (;;) {
      const frame = await connection.receive();
      if (frame === undefined) return;
      this.watch.heard(this.context.environment.clock.now());
      this.context.metrics.receivedBytes.inc(frame.length);
      for (const message of STREAM_CODEC.decodeBatch(frame, connection.peer)) this.take(message);
      if (this.endReason !== undefined) return;
    }
  }

  private take(message: StreamMessage): void {
    switch (message.kind) {
      case 'welcome':
        return this.takeWelcome(message);
      case 'snapshotBegin':
        return this.assembler.begin(message);
      case 'snapshotChunk':
        return this.takeChunk(message.bytes);
      case 'delta':
        return this.takeDelta(message);
      case 'heartbeat':
        return this.takeHeartbeat(message);
      case 'sign': {
        const sign = fromSignMessage(message);
        if (sign === undefined) throw this.malformed('not a sign of a replica');
        return this.context.copy.takeSign(sign);
      }
      case 'goodbye':
        return this.takeGoodbye(message);
      default:
        throw this.malformed(`a ${message.kind} message from a controller`);
    }
  }

  private takeWelcome({ provenFresh, knownIncarnation, sourceTime }: WelcomeMessage): void {
    const { context } = this;
    if (knownIncarnation > context.incarnation) {
      context.incarnation = knownIncarnation + 1;
      this.end('superseded');
      return;
    }
    // A daemon that holds nothing may have held more before its restart than
    // this source ever saw; only a source proven fresh excludes that.
    if (!provenFresh && context.copy.held.revision === NO_REVISION) {
      this.end('cut_off');
      return;
    }
    this.watch.welcomed(sourceTime, context.environment.clock.now());
    for (const sign of context.copy.observedSigns.values()) this.reportSign(sign);
  }

  private takeChunk(bytes: Uint8Array): void {
    const snapshot = this.assembler.add({ kind: 'snapshotChunk', bytes });
    if (snapshot === undefined) return;
    if (!this.watch.isWelcomed) throw this.malformed('a configuration before the welcome');
    this.awaitingSnapshot = false;
    if (!this.context.copy.takeSnapshot(snapshot)) throw this.malformed('not the hashed content');
    this.report();
  }

  private takeDelta(message: DeltaMessage): void {
    // What arrives while a snapshot is under way is contained in it or follows it.
    if (this.awaitingSnapshot) return;
    const change = this.parseChange(message);
    const outcome = this.context.copy.takeDelta({ change, stateHash: message.stateHash });
    if (outcome === 'applied') this.report();
    if (outcome === 'gap' || outcome === 'divergence') this.resync(outcome);
  }

  private parseChange(message: DeltaMessage): AcceptedChange {
    let change: AcceptedChange;
    try {
      change = JSON.parse(Buffer.from(message.change).toString('utf8')) as AcceptedChange;
    } catch (error) {
      throw this.malformed('a change that is not JSON', error);
    }
    if (change?.revision !== message.revision || !Array.isArray(change.operations)) {
      throw this.malformed('not a change of the stated revision');
    }
    return change;
  }

  private takeHeartbeat(message: HeartbeatMessage): void {
    const { copy, environment } = this.context;
    const { committedRevision, stateHash } = message;
    const now = environment.clock.now();
    const quorumAt = this.watch.heartbeat(message, now);
    copy.proof.noteCommitted(committedRevision);
    this.watch.compare(copy.held.revision, committedRevision, now);
    if (this.awaitingSnapshot) return;
    if (copy.held.contradicts(committedRevision, stateHash)) {
      this.resync('divergence');
      return;
    }
    if (copy.held.revision === committedRevision) copy.proof.prove(quorumAt);
    if (copy.held.mustFollow(committedRevision)) this.resync('gap');
  }

  private takeGoodbye({ reason }: GoodbyeMessage): void {
    this.end(reason === 'not_proven_fresh' ? 'cut_off' : 'stopping');
  }

  private resync(reason: ResyncReason): void {
    this.context.metrics.resyncs.inc({ reason });
    this.awaitingSnapshot = true;
    void this.send({ kind: 'resync', reason });
  }

  private async send(message: StreamMessage): Promise<void> {
    try {
      await this.connection?.send(STREAM_CODEC.encode(message));
    } catch {
      // The receiving task sees the same failure and ends the session.
    }
  }

  private async watchSource(): Promise<void> {
    while (await this.pause(WATCH_INTERVAL_MS)) {
      const reason = this.watch.reasonToLeave(this.context.environment.clock.now());
      if (reason !== undefined) this.end(reason);
    }
  }

  private async reportRegularly(): Promise<void> {
    while (await this.pause(REPORT_INTERVAL_MS)) this.report();
  }

  /** Returns whether the session still runs afterwards. */
  private async pause(milliseconds: number): Promise<boolean> {
    try {
      await this.context.environment.clock.sleep(milliseconds, this.over.signal);
      return true;
    } catch {
      return false;
    }
  }

  private malformed(message: string, cause?: unknown): MalformedMessageError {
    return new MalformedMessageError('read stream', this.endpoint.memberId, message, cause);
  }
}
