/** Counters of a controller's end of the control stream. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** Registered once for each registry. */
export class ServerMetrics {
  readonly subscribers: Gauge;
  readonly sentBytes: Counter;
  readonly malformedFrames: Counter;
  readonly supersededReports: Counter;
  readonly resyncs: Counter<'reason'>;
  readonly streamsEnded: Counter<'reason'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.subscribers = new Gauge({
      name: 'driftway_control_stream_subscribers',
      help: 'Daemons that follow this controller.',
      registers,
    });
    this.sentBytes = new Counter({
      name: 'driftway_control_stream_sent_bytes_total',
      help: 'Bytes of frames sent to daemons.',
      registers,
    });
    this.malformedFrames = new Counter({
      name: 'driftway_control_stream_subscriber_malformed_frames_total',
      help: 'Frames from daemons that the protocol does not allow.',
      registers,
    });
    this.supersededReports = new Counter({
      name: 'driftway_control_stream_superseded_reports_total',
      help: 'Reports of a daemon whose name a newer process has taken: two have the same name.',
      registers,
    });
    this.resyncs = new Counter({
      name: 'driftway_control_stream_subscriber_resyncs_total',
      help: 'Whole configurations that daemons asked for, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.streamsEnded = new Counter({
      name: 'driftway_control_stream_subscribers_ended_total',
      help: 'Streams that ended, by how.',
      labelNames: ['reason'],
      registers,
    });
  }
}
