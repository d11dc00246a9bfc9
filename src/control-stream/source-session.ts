/**
 * One session of a daemon with one controller: connect, handshake, subscribe,
 * then take what arrives until either side ends it.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { ReplicaReport } from '../model/replica-report.js';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { SessionContext } from './session-context.js';
import type { SessionEnd } from './session-end.js';
import { fromReplicaReportMessage, toReplicaReportMessage } from './replica-report-message.js';
import { SnapshotAssembler } from './snapshot-assembler.js';
import { SourceLink } from './source-link.js';
import {
  NO_REVISION,
  type DeltaMessage,
  type GoodbyeMessage,
  type HeartbeatMessage,
  type ResyncReason,
  type ReplicaReportMessage,
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
  private isAwaitingSnapshot: boolean;

  constructor(
    private readonly context: SessionContext,
    readonly endpoint: ControllerEndpoint,
    tolerateStale: boolean,
  ) {
    const now = context.environment.clock.now();
    const staleUntil = tolerateStale ? now + STALE_STAY_MS : Number.NEGATIVE_INFINITY;
    this.link = new SourceLink(context, endpoint, staleUntil);
    this.assembler = new SnapshotAssembler(endpoint.memberId);
    this.isAwaitingSnapshot = context.daemonState.held.revision === NO_REVISION;
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
    const { incarnation, zone, version, daemonState } = this.context;
    const heldRevision = daemonState.held.revision;
    void this.reportRegularly();
    return this.link.run(
      { kind: 'subscribe', incarnation, zone, version, heldRevision, probe: false },
      (message) => this.handle(message),
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
  reportRevision(): void {
    this.context.reportSequence += 1;
    const { reportSequence: sequence, daemonState } = this.context;
    void this.link.send({ kind: 'report', sequence, revision: daemonState.held.revision });
  }

  sendReplicaReport(report: ReplicaReport): void {
    void this.link.send(toReplicaReportMessage(report));
  }

  private handle(message: StreamMessage): void {
    switch (message.kind) {
      case 'welcome':
        return this.handleWelcome(message);
      case 'snapshotBegin':
        return this.handleSnapshotBegin(message);
      case 'snapshotChunk':
        return this.handleSnapshotChunk(message);
      case 'delta':
        return this.handleDelta(message);
      case 'heartbeat':
        return this.handleHeartbeat(message);
      case 'sign':
        return this.handleReplicaReport(message);
      case 'goodbye':
        return this.handleGoodbye(message);
      default:
        throw this.link.malformed(`a ${message.kind} message from a controller`);
    }
  }

  private handleWelcome({ provenFresh, knownIncarnation, sourceTime }: WelcomeMessage): void {
    const { context } = this;
    if (knownIncarnation > context.incarnation) {
      context.incarnation = knownIncarnation + 1;
      this.link.end('superseded');
      return;
    }
    // A daemon that holds nothing may have held more before its restart than
    // this source ever saw; only a source proven fresh excludes that.
    if (!provenFresh && context.daemonState.held.revision === NO_REVISION) {
      this.link.end('cut_off');
      return;
    }
    this.link.watch.recordWelcome(sourceTime, provenFresh, context.environment.clock.now());
    for (const report of context.daemonState.ownReplicaReports.values())
      this.sendReplicaReport(report);
  }

  private handleSnapshotBegin(message: SnapshotBeginMessage): void {
    this.isAwaitingSnapshot = true;
    this.link.watch.recordSnapshotBegin();
    this.assembler.begin(message);
  }

  private handleSnapshotChunk(message: SnapshotChunkMessage): void {
    const snapshot = this.assembler.add(message);
    if (snapshot === undefined) return;
    if (!this.link.watch.isWelcomed)
      throw this.link.malformed('a configuration before the welcome');
    this.isAwaitingSnapshot = false;
    this.link.watch.recordSnapshotEnd(this.context.environment.clock.now());
    if (!this.context.daemonState.applySnapshot(snapshot))
      throw this.link.malformed('not the hashed content');
    this.reportRevision();
  }

  private handleDelta(message: DeltaMessage): void {
    // What arrives while a snapshot is under way is contained in it or follows it.
    if (this.isAwaitingSnapshot) return;
    const change = this.parseChange(message);
    const outcome = this.context.daemonState.applyDelta({ change, stateHash: message.stateHash });
    if (outcome === 'applied') this.reportRevision();
    if (outcome === 'gap' || outcome === 'divergence') this.requestSnapshot(outcome);
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

  private handleHeartbeat(message: HeartbeatMessage): void {
    const { daemonState, environment } = this.context;
    const { committedRevision, stateHash } = message;
    const now = environment.clock.now();
    const quorumAt = this.link.watch.recordHeartbeat(message, now);
    daemonState.proof.recordCommitted(committedRevision);
    this.link.watch.compareRevisions(daemonState.held.revision, committedRevision, now);
    if (this.isAwaitingSnapshot) return;
    if (daemonState.held.divergesFrom(committedRevision, stateHash)) {
      this.requestSnapshot('divergence');
      return;
    }
    if (daemonState.held.revision === committedRevision) daemonState.proof.recordProof(quorumAt);
    if (daemonState.held.isBehind(committedRevision)) this.requestSnapshot('gap');
  }

  private handleReplicaReport(message: ReplicaReportMessage): void {
    const report = fromReplicaReportMessage(message);
    if (report === undefined) throw this.link.malformed('not a sign of a replica');
    this.context.daemonState.applyReplicaReport(report);
  }

  private handleGoodbye({ reason }: GoodbyeMessage): void {
    this.link.end(reason === 'not_proven_fresh' ? 'cut_off' : 'stopping');
  }

  private requestSnapshot(reason: ResyncReason): void {
    this.context.metrics.resyncs.inc({ reason });
    this.isAwaitingSnapshot = true;
    void this.link.send({ kind: 'resync', reason });
  }

  private async reportRegularly(): Promise<void> {
    while (await this.link.pause(REPORT_INTERVAL_MS)) this.reportRevision();
  }
}
