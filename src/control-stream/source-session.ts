/**
 * One session of a daemon with one controller: connect, handshake, subscribe,
 * then take what arrives until either side ends it.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { ReplicaSign } from '../model/replica-sign.js';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { SessionContext } from './session-context.js';
import type { SessionEnd } from './session-end.js';
import { fromSignMessage, toSignMessage } from './sign-message.js';
import { SnapshotAssembler } from './snapshot-assembler.js';
import { SourceLink } from './source-link.js';
import {
  NO_REVISION,
  type DeltaMessage,
  type GoodbyeMessage,
  type HeartbeatMessage,
  type ResyncReason,
  type SignMessage,
  type SnapshotBeginMessage,
  type SnapshotChunkMessage,
  type StreamMessage,
  type WelcomeMessage,
} from './stream-messages.js';
import { REPORT_INTERVAL_MS, STALE_STAY_MS } from './stream-timing.js';

/** Longest time a goodbye may take to leave. Milliseconds. */
const GOODBYE_TIMEOUT_MS = 500;

/** Runs once. */
export class SourceSession {
  private readonly link: SourceLink;
  private readonly assembler: SnapshotAssembler;
  private awaitingSnapshot: boolean;

  constructor(
    private readonly context: SessionContext,
    readonly endpoint: ControllerEndpoint,
    tolerateStale: boolean,
  ) {
    const now = context.environment.clock.now();
    const staleUntil = tolerateStale ? now + STALE_STAY_MS : Number.NEGATIVE_INFINITY;
    this.link = new SourceLink(context, endpoint, staleUntil);
    this.assembler = new SnapshotAssembler(endpoint.memberId);
    this.awaitingSnapshot = context.copy.held.revision === NO_REVISION;
  }

  /** Whether the controller took the daemon on. */
  get wasWelcomed(): boolean {
    return this.link.watch.isWelcomed;
  }

  /** More about the end than its reason says, if there is more. */
  get detail(): string | undefined {
    return this.link.detail;
  }

  /** Resolves when the session is over; never rejects. */
  run(): Promise<SessionEnd> {
    const { incarnation, zone, version, copy } = this.context;
    const heldRevision = copy.held.revision;
    void this.reportRegularly();
    return this.link.run(
      { kind: 'subscribe', incarnation, zone, version, heldRevision, probe: false },
      (message) => this.take(message),
    );
  }

  /** Tells the controller before ending, so that it does not take the daemon for lost. */
  async leave(reason: 'closed' | 'returned'): Promise<void> {
    const goodbye = reason === 'closed' ? 'stopping' : 'moved';
    // Not awaited for long: a controller that reads nothing must not hold the daemon.
    await Promise.race([
      this.link.send({ kind: 'goodbye', reason: goodbye }),
      this.link.pause(GOODBYE_TIMEOUT_MS),
    ]);
    this.link.end(reason);
  }

  /** Tells the controller which revision is in force. */
  report(): void {
    this.context.reportSequence += 1;
    const { reportSequence: sequence, copy } = this.context;
    void this.link.send({ kind: 'report', sequence, revision: copy.held.revision });
  }

  reportSign(sign: ReplicaSign): void {
    void this.link.send(toSignMessage(sign));
  }

  private take(message: StreamMessage): void {
    switch (message.kind) {
      case 'welcome':
        return this.takeWelcome(message);
      case 'snapshotBegin':
        return this.takeBegin(message);
      case 'snapshotChunk':
        return this.takeChunk(message);
      case 'delta':
        return this.takeDelta(message);
      case 'heartbeat':
        return this.takeHeartbeat(message);
      case 'sign':
        return this.takeSign(message);
      case 'goodbye':
        return this.takeGoodbye(message);
      default:
        throw this.link.malformed(`a ${message.kind} message from a controller`);
    }
  }

  private takeWelcome({ provenFresh, knownIncarnation, sourceTime }: WelcomeMessage): void {
    const { context } = this;
    if (knownIncarnation > context.incarnation) {
      context.incarnation = knownIncarnation + 1;
      this.link.end('superseded');
      return;
    }
    // A daemon that holds nothing may have held more before its restart than
    // this source ever saw; only a source proven fresh excludes that.
    if (!provenFresh && context.copy.held.revision === NO_REVISION) {
      this.link.end('cut_off');
      return;
    }
    this.link.watch.welcomed(sourceTime, provenFresh, context.environment.clock.now());
    for (const sign of context.copy.observedSigns.values()) this.reportSign(sign);
  }

  private takeBegin(message: SnapshotBeginMessage): void {
    this.awaitingSnapshot = true;
    this.link.watch.snapshotBegan();
    this.assembler.begin(message);
  }

  private takeChunk(message: SnapshotChunkMessage): void {
    const snapshot = this.assembler.add(message);
    if (snapshot === undefined) return;
    if (!this.link.watch.isWelcomed)
      throw this.link.malformed('a configuration before the welcome');
    this.awaitingSnapshot = false;
    this.link.watch.snapshotArrived(this.context.environment.clock.now());
    if (!this.context.copy.takeSnapshot(snapshot))
      throw this.link.malformed('not the hashed content');
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
      throw this.link.malformed('a change that is not JSON', error);
    }
    if (change?.revision !== message.revision || !Array.isArray(change.operations)) {
      throw this.link.malformed('not a change of the stated revision');
    }
    return change;
  }

  private takeHeartbeat(message: HeartbeatMessage): void {
    const { copy, environment } = this.context;
    const { committedRevision, stateHash } = message;
    const now = environment.clock.now();
    const quorumAt = this.link.watch.heartbeat(message, now);
    copy.proof.noteCommitted(committedRevision);
    this.link.watch.compare(copy.held.revision, committedRevision, now);
    if (this.awaitingSnapshot) return;
    if (copy.held.contradicts(committedRevision, stateHash)) {
      this.resync('divergence');
      return;
    }
    if (copy.held.revision === committedRevision) copy.proof.prove(quorumAt);
    if (copy.held.mustFollow(committedRevision)) this.resync('gap');
  }

  private takeSign(message: SignMessage): void {
    const sign = fromSignMessage(message);
    if (sign === undefined) throw this.link.malformed('not a sign of a replica');
    this.context.copy.takeSign(sign);
  }

  private takeGoodbye({ reason }: GoodbyeMessage): void {
    this.link.end(reason === 'not_proven_fresh' ? 'cut_off' : 'stopping');
  }

  private resync(reason: ResyncReason): void {
    this.context.metrics.resyncs.inc({ reason });
    this.awaitingSnapshot = true;
    void this.link.send({ kind: 'resync', reason });
  }

  private async reportRegularly(): Promise<void> {
    while (await this.link.pause(REPORT_INTERVAL_MS)) this.report();
  }
}
