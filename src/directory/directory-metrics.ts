/** Metrics of the controller's end of the directory stream. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** Whether a subscriber is in the controller's own zone; the values are label values. */
export enum SubscriberPlace {
  OwnZone = 'own_zone',
  OtherZone = 'other_zone',
}

/** Sources of the gauges, read at each scrape. */
export interface DirectoryReadings {
  /** Version of this controller's route document; undefined before the first. */
  readonly routeVersion: () => number | undefined;
  /**
   * For each gateway that follows this controller and lacks its route document, how long the
   * gateway has lacked it. Milliseconds.
   */
  readonly lackingMs: () => readonly number[];
}

/** Registers all metrics when constructed; the gauges update themselves. */
export class DirectoryMetrics {
  readonly documents: Counter<'place'>;
  readonly documentBytes: Counter<'place'>;

  constructor(registry: Registry, readings: DirectoryReadings) {
    const registers = [registry];
    this.documents = new Counter({
      name: 'driftway_controller_route_documents_sent_total',
      help: 'Route documents sent to gateways, by place of the gateway.',
      labelNames: ['place'],
      registers,
    });
    this.documentBytes = new Counter({
      name: 'driftway_controller_route_document_bytes_sent_total',
      help: 'Bytes of route documents sent to gateways, by place of the gateway.',
      labelNames: ['place'],
      registers,
    });
    new Gauge({
      name: 'driftway_controller_route_version',
      help: 'Version of the newest accepted route document known to this controller; -1 before the first.',
      registers,
      collect() {
        this.set(readings.routeVersion() ?? -1);
      },
    });
    new Gauge({
      name: 'driftway_controller_gateways_lacking_routes',
      help: 'Gateways that follow this controller and have not put its route document in force.',
      registers,
      collect() {
        this.set(readings.lackingMs().length);
      },
    });
    new Gauge({
      name: 'driftway_controller_routes_lacking_seconds',
      help: 'Longest time for which a gateway that follows this controller has lacked its route document; 0 if none lacks it.',
      registers,
      collect() {
        this.set(Math.max(0, ...readings.lackingMs()) / 1_000);
      },
    });
  }
}
