/** Metrics of a controller's end of the control stream. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** May be constructed once per registry. */
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
      help: 'Daemons connected to this controller, including those that only probe it.',
      registers,
    });
    this.sentBytes = new Counter({
      name: 'driftway_control_stream_sent_bytes_total',
      help: 'Bytes of frames sent to daemons.',
      registers,
    });
    this.malformedFrames = new Counter({
      name: 'driftway_control_stream_subscriber_malformed_frames_total',
      help: 'Frames from daemons that violate the protocol.',
      registers,
    });
    this.supersededReports = new Counter({
      name: 'driftway_control_stream_superseded_reports_total',
      help: 'Reports from a daemon whose name a newer process also uses: two daemons share a name.',
      registers,
    });
    this.resyncs = new Counter({
      name: 'driftway_control_stream_subscriber_resyncs_total',
      help: 'Requests by daemons for a whole configuration, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.streamsEnded = new Counter({
      name: 'driftway_control_stream_subscribers_ended_total',
      help: 'Streams of daemons that ended, by reason.',
      labelNames: ['reason'],
      registers,
    });
  }
}
