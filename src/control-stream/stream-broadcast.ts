/**
 * Frames that all subscribers of a controller share, each encoded once, and the
 * notification of new ones.
 */
import { Notifier } from '../consensus/notifier.js';
import type { ReplicatedLogStatus } from '../consensus/replicated-log.js';
import type { Clock, Timer } from '../seams/clock.js';
import { AppliedAge } from './applied-age.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { EncodedHistory, type EncodedHistoryOptions } from './encoded-history.js';
import type { LivenessReportTable } from './liveness-report-table.js';
import { STREAM_CODEC } from './stream-messages.js';
import { HEARTBEAT_INTERVAL_MS } from './stream-timing.js';

/** Replica reports recorded within this time are sent in one frame. Milliseconds. */
const LIVENESS_REPORT_BATCH_MS = 20;

/** How much of the broadcast one subscriber has been sent. */
export interface BroadcastPosition {
  heldRevision: number;
  livenessReportPosition: number;
  heartbeatNumber: number;
}

/** Serves the sessions of all subscribers of one controller. */
export class StreamBroadcast {
  readonly history: EncodedHistory;
  /** Notified whenever there is a new frame to send. */
  readonly updates: Notifier;
  private readonly appliedAge: AppliedAge;
  private heartbeatFrame: Uint8Array = new Uint8Array();
  private heartbeatNumber = 0;
  private batchTimer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    feed: ConfigurationFeed,
    private readonly readStatus: () => ReplicatedLogStatus,
    readonly livenessReports: LivenessReportTable,
    faults: ControlStreamFaults,
    options?: EncodedHistoryOptions,
  ) {
    this.updates = new Notifier(clock);
    this.appliedAge = new AppliedAge(faults);
    this.history = new EncodedHistory(feed, () => this.updates.notify(), options);
  }

  /** How long ago this controller's state was last known to be up to date. Milliseconds. */
  get stateAge(): number {
    return this.appliedAge.read(this.readStatus(), this.clock.now());
  }

  /** Encodes a heartbeat at each interval until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.writeHeartbeat();
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  /**
   * Returns all frames that a subscriber has not been sent, in the order in which
   * they must arrive: a heartbeat follows the changes whose revision it states.
   * Advances `position`.
   */
  takeFrames(position: BroadcastPosition, zone: string): Uint8Array[] {
    const frames = [...this.history.framesAfter(position.heldRevision)];
    position.heldRevision = Math.max(position.heldRevision, this.history.revision);
    const livenessReportFrame = this.livenessReports.frameAfter(
      position.livenessReportPosition,
      zone,
    );
    position.livenessReportPosition = this.livenessReports.position;
    if (livenessReportFrame !== undefined) frames.push(livenessReportFrame);
    frames.push(...this.takeHeartbeat(position));
    return frames;
  }

  /**
   * Returns the newest heartbeat unless the subscriber was already sent it.
   * Advances `position`.
   */
  takeHeartbeat(position: BroadcastPosition): Uint8Array[] {
    if (position.heartbeatNumber === this.heartbeatNumber) return [];
    position.heartbeatNumber = this.heartbeatNumber;
    return [this.heartbeatFrame];
  }

  /**
   * Must be called after a liveness report was recorded; notifies subscribers
   * once per batch interval.
   */
  notifyAfterBatch(): void {
    this.batchTimer ??= this.clock.setTimer(LIVENESS_REPORT_BATCH_MS, () => {
      this.batchTimer = undefined;
      this.updates.notify();
    });
  }

  dispose(): void {
    this.batchTimer?.cancel();
    this.history.dispose();
  }

  private writeHeartbeat(): void {
    this.heartbeatFrame = STREAM_CODEC.encode({
      kind: 'heartbeat',
      committedRevision: this.history.revision,
      stateHash: this.history.stateHash,
      sinceQuorumMs: this.stateAge,
      sourceTime: this.clock.now(),
    });
    this.heartbeatNumber += 1;
    this.updates.notify();
  }
}
