/** Counters of a daemon's end of the control stream. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** Registered once for each registry. */
export class ClientMetrics {
  readonly sessionsEnded: Counter<'reason'>;
  readonly resyncs: Counter<'reason'>;
  readonly lowerRevisionsIgnored: Counter;
  readonly malformedFrames: Counter;
  readonly receivedBytes: Counter;
  readonly revision: Gauge;
  readonly fresh: Gauge;

  constructor(registry: Registry, isFresh: () => boolean) {
    const registers = [registry];
    this.sessionsEnded = new Counter({
      name: 'driftway_control_stream_sessions_ended_total',
      help: 'Sessions with a controller, by how they ended.',
      labelNames: ['reason'],
      registers,
    });
    this.resyncs = new Counter({
      name: 'driftway_control_stream_resyncs_total',
      help: 'Whole configurations asked for, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.lowerRevisionsIgnored = new Counter({
      name: 'driftway_control_stream_lower_revisions_ignored_total',
      help: 'Snapshots that were below the revision in force.',
      registers,
    });
    this.malformedFrames = new Counter({
      name: 'driftway_control_stream_malformed_frames_total',
      help: 'Frames from controllers that the protocol does not allow.',
      registers,
    });
    this.receivedBytes = new Counter({
      name: 'driftway_control_stream_received_bytes_total',
      help: 'Bytes of frames received from controllers.',
      registers,
    });
    this.revision = new Gauge({
      name: 'driftway_configuration_revision',
      help: 'Revision in force; -1 before the first.',
      registers,
    });
    this.revision.set(-1);
    this.fresh = new Gauge({
      name: 'driftway_configuration_fresh',
      help: '1 while a source has proven within its lease that it heard a quorum.',
      registers,
      collect() {
        this.set(isFresh() ? 1 : 0);
      },
    });
  }
}
