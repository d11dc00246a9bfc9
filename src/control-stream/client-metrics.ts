/** Metrics of a daemon's end of the control stream. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** May be constructed once per registry. */
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
      help: 'Sessions with controllers that ended, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.resyncs = new Counter({
      name: 'driftway_control_stream_resyncs_total',
      help: 'Requests for a whole configuration, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.lowerRevisionsIgnored = new Counter({
      name: 'driftway_control_stream_lower_revisions_ignored_total',
      help: 'Snapshots ignored because their revision was below the one in force.',
      registers,
    });
    this.malformedFrames = new Counter({
      name: 'driftway_control_stream_malformed_frames_total',
      help: 'Frames from controllers that violate the protocol.',
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
      help: '1 while the configuration is proven up to date within the quorum lease, otherwise 0.',
      registers,
      collect() {
        this.set(isFresh() ? 1 : 0);
      },
    });
  }
}
