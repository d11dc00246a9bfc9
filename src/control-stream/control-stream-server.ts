/**
 * A controller's end of the control stream. Leaders and followers alike serve
 * any number of daemons.
 */
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { RemoteIdentity } from '../protocol/handshake.js';
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import type { DaemonDirectory } from './daemon-directory.js';
import type { EncodedHistoryOptions } from './encoded-history.js';
import { ServerMetrics } from './server-metrics.js';
import { SharedReadBarrier } from './shared-read-barrier.js';
import type { LivenessReportTable } from './liveness-report-table.js';
import { StreamBroadcast } from './stream-broadcast.js';
import { SubscriberSession, type SubscriberContext } from './subscriber-session.js';

/** On a planned stop, how long to wait for daemons to disconnect. Milliseconds. */
export const LEAVE_TIMEOUT_MS = 2_000;

/** Dependencies and options of a {@link ControlStreamServer}. */
export interface ControlStreamServerParts {
  readonly clock: Clock;
  readonly memberId: string;
  readonly feed: ConfigurationFeed;
  readonly log: Pick<ReplicatedLog, 'readBarrier' | 'status'>;
  readonly daemons: DaemonDirectory;
  readonly livenessReports: LivenessReportTable;
  /** Called when there is an update to forward to other controllers. */
  readonly onUpdate: () => void;
  readonly historyOptions?: EncodedHistoryOptions;
  readonly faults?: ControlStreamFaults;
}

/** Accepts the streams of daemons at one controller, until stopped. */
export class ControlStreamServer {
  private readonly broadcast: StreamBroadcast;
  private readonly context: SubscriberContext;
  private readonly sessions = new Set<SubscriberSession>();
  private readonly stopped = new AbortController();
  private readonly finished: Promise<void>;
  private stopping = false;

  constructor(
    private readonly parts: ControlStreamServerParts,
    telemetry: Telemetry,
  ) {
    const { clock, memberId, feed, log, daemons, livenessReports, onUpdate, historyOptions } =
      parts;
    const faults = parts.faults ?? NO_CONTROL_STREAM_FAULTS;
    const readStatus = (): ReturnType<ReplicatedLog['status']> => log.status();
    this.broadcast = new StreamBroadcast(
      clock,
      feed,
      readStatus,
      livenessReports,
      faults,
      historyOptions,
    );
    this.context = {
      clock,
      memberId,
      broadcast: this.broadcast,
      barrier: new SharedReadBarrier(log, clock, faults),
      livenessReports,
      daemons,
      metrics: new ServerMetrics(telemetry.registry),
      onUpdate,
    };
    this.finished = this.broadcast.run(this.stopped.signal);
  }

  /** Serves one daemon after its handshake; resolves when its stream has ended. */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const session = new SubscriberSession(this.context, connection, peer.name);
    if (this.stopping) return session.sendGoodbye('stopping');
    this.sessions.add(session);
    this.context.metrics.subscribers.set(this.sessions.size);
    try {
      await session.run();
    } finally {
      this.sessions.delete(session);
      this.context.metrics.subscribers.set(this.sessions.size);
    }
  }

  /** How long ago the served state was last known to be up to date. Milliseconds. */
  get stateAge(): number {
    return this.broadcast.stateAge;
  }

  /**
   * Must be called after a liveness report from anywhere but a subscriber was
   * recorded; sends it to subscribers.
   */
  notify(): void {
    this.broadcast.notifyAfterBatch();
  }

  /**
   * Asks every daemon to disconnect, waits up to `LEAVE_TIMEOUT_MS`, then ends
   * the remaining streams.
   */
  async stop(): Promise<void> {
    this.stopping = true;
    // Not awaited: a daemon that does not read must not delay the stop.
    for (const session of this.sessions) void session.sendGoodbye('stopping');
    const deadline = this.parts.clock.now() + LEAVE_TIMEOUT_MS;
    while (this.sessions.size > 0 && this.parts.clock.now() < deadline) {
      await this.parts.clock.sleep(LEAVE_TIMEOUT_MS / 100);
    }
    for (const session of this.sessions) session.end();
    this.stopped.abort(new Error('stopped'));
    await this.finished;
    this.broadcast.dispose();
  }
}
