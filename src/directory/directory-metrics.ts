/** Counters and gauges of a controller's end of the directory stream. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** Where a subscriber is, seen from the controller. */
export enum SubscriberPlace {
  OwnZone = 'own_zone',
  OtherZone = 'other_zone',
}

/** What the gauges show when they are read. */
export interface DirectoryReadings {
  /** Version of the route document here; undefined before the first. */
  readonly routeVersion: () => number | undefined;
  /** For how long each gateway that follows this controller and lacks its routes has lacked them. Milliseconds. */
  readonly lackingMs: () => readonly number[];
}

/** See the module comment. */
export class DirectoryMetrics {
  readonly documents: Counter<'place'>;
  readonly documentBytes: Counter<'place'>;

  constructor(registry: Registry, readings: DirectoryReadings) {
    const registers = [registry];
    this.documents = new Counter({
      name: 'driftway_controller_route_documents_sent_total',
      help: 'Route documents that were sent to gateways, by where those are.',
      labelNames: ['place'],
      registers,
    });
    this.documentBytes = new Counter({
      name: 'driftway_controller_route_document_bytes_sent_total',
      help: 'Bytes of route documents that were sent, by where the gateway is.',
      labelNames: ['place'],
      registers,
    });
    new Gauge({
      name: 'driftway_controller_route_version',
      help: 'Version of the newest route document that this controller knows to be accepted.',
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
      help: 'Longest time for which such a gateway has lacked a route document; 0 for none.',
      registers,
      collect() {
        this.set(Math.max(0, ...readings.lackingMs()) / 1_000);
      },
    });
  }
}
