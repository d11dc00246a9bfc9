/**
 * One session of a daemon with one controller: connects, performs the handshake,
 * subscribes, then handles messages until either side ends the session.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { LivenessReport } from '../model/liveness-report.js';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { SessionContext } from './session-context.js';
import type { SessionEnd } from './session-end.js';
import { fromLivenessReportMessage, toLivenessReportMessage } from './liveness-report-message.js';
import { SnapshotAssembler } from './snapshot-assembler.js';
import { SourceLink } from './source-link.js';
import {
  NO_REVISION,
  type DeltaMessage,
  type GoodbyeMessage,
  type HeartbeatMessage,
  type ResyncReason,
  type LivenessReportMessage,
  type SnapshotBeginMessage,
  type SnapshotChunkMessage,
  type StreamMessage,
  type WelcomeMessage,
} from './stream-messages.js';
import { REPORT_INTERVAL_MS, STALE_STAY_MS } from './stream-timing.js';

/** How long to wait for a goodbye to be sent. Milliseconds. */
const GOODBYE_TIMEOUT_MS = 500;

/** Runs once; cannot be reused. */
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

  /** Whether the controller has accepted the subscription. */
  get wasWelcomed(): boolean {
    return this.link.watch.isWelcomed;
  }

  /** Message of the error that ended the session, if there was one. */
  get detail(): string | undefined {
    return this.link.detail;
  }

  /** Resolves with the reason when the session has ended; never rejects. */
  run(): Promise<SessionEnd> {
    const { incarnation, zone, version, daemonState } = this.context;
    const heldRevision = daemonState.held.revision;
    void this.reportRegularly();
    return this.link.run(
      { kind: 'subscribe', incarnation, zone, version, heldRevision, probe: false },
      (message) => this.handle(message),
    );
  }

  /**
   * Sends a goodbye and ends the session, so that the controller does not
   * consider the daemon lost.
   */
  async leave(reason: 'closed' | 'returned'): Promise<void> {
    const goodbye = reason === 'closed' ? 'stopping' : 'moved';
    // The wait is bounded: a controller that does not read must not block the daemon.
    await Promise.race([
      this.link.send({ kind: 'goodbye', reason: goodbye }),
      this.link.pause(GOODBYE_TIMEOUT_MS),
    ]);
    this.link.end(reason);
  }

  /** Reports the revision in force to the controller; the result of sending is ignored. */
  reportRevision(): void {
    this.context.reportSequence += 1;
    const { reportSequence: sequence, daemonState } = this.context;
    void this.link.send({ kind: 'report', sequence, revision: daemonState.held.revision });
  }

  sendLivenessReport(report: LivenessReport): void {
    void this.link.send(toLivenessReportMessage(report));
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
        return this.handleLivenessReport(message);
      case 'goodbye':
        return this.handleGoodbye(message);
      default:
        throw this.link.malformed(`unexpected ${message.kind} message from a controller`);
    }
  }

  private handleWelcome({ provenFresh, knownIncarnation, sourceTime }: WelcomeMessage): void {
    const { context } = this;
    if (knownIncarnation > context.incarnation) {
      context.incarnation = knownIncarnation + 1;
      this.link.end('superseded');
      return;
    }
    // A daemon without a configuration may have had a higher revision before its
    // restart than this source has ever held; only a proven fresh source rules that out.
    if (!provenFresh && context.daemonState.held.revision === NO_REVISION) {
      this.link.end('cut_off');
      return;
    }
    this.link.watch.recordWelcome(sourceTime, provenFresh, context.environment.clock.now());
    for (const report of context.daemonState.ownLivenessReports.values())
      this.sendLivenessReport(report);
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
      throw this.link.malformed('expected a welcome before the configuration');
    this.isAwaitingSnapshot = false;
    this.link.watch.recordSnapshotEnd(this.context.environment.clock.now());
    if (!this.context.daemonState.applySnapshot(snapshot))
      throw this.link.malformed('the configuration does not match its hash');
    this.reportRevision();
  }

  private handleDelta(message: DeltaMessage): void {
    // The pending snapshot contains every change that arrives before it; later ones follow it.
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
      throw this.link.malformed('the change is not JSON', error);
    }
    if (change?.revision !== message.revision || !Array.isArray(change.operations)) {
      throw this.link.malformed('the change is not one of the stated revision');
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

  private handleLivenessReport(message: LivenessReportMessage): void {
    const report = fromLivenessReportMessage(message);
    if (report === undefined) throw this.link.malformed('expected a valid liveness report');
    this.context.daemonState.applyLivenessReport(report);
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
