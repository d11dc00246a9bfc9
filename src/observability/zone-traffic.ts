/**
 * Counts the bytes of messages by their kind and by whether they leave the zone. Each
 * connection is counted by the side that opened it, both ways, as that side knows where it
 * leads: summed over all processes every byte counts once. Handshakes, the framing of HTTP and
 * what the operating system adds are not counted.
 */
import { Counter, type Registry } from 'prom-client';

/** Where the other end of a connection is. */
enum TrafficPlace {
  OwnZone = 'own_zone',
  OtherZone = 'other_zone',
  /** Its zone has not been told yet. */
  UnknownZone = 'unknown_zone',
}

/** Which way a message goes, seen from the side that opened the connection. */
export enum TrafficDirection {
  Sent = 'sent',
  Received = 'received',
}

/** One message. */
export interface TrafficNote {
  /** Of a fixed set; see `MessageCodec.kindOf`. */
  readonly kind: string;
  readonly direction: TrafficDirection;
  readonly bytes: number;
}

interface CountedBytes {
  readonly labels: { readonly kind: string; readonly place: string; readonly direction: string };
  bytes: number;
}

/**
 * Bytes are added up here and handed to the metric when it is read, as finding its labels for each message is
 * costly.
 */
export class ZoneTraffic {
  private readonly counted = new Map<string, CountedBytes>();
  /** Bytes that did not stay in the zone, by kind and direction. */
  private readonly leaving = new Map<string, number>();

  constructor(
    private readonly ownZone: string,
    registry: Registry,
  ) {
    const { counted } = this;
    new Counter({
      name: 'driftway_message_bytes_total',
      help: 'Bytes of messages over connections that this process opened, by kind, direction and zone of the other end.',
      labelNames: ['kind', 'place', 'direction'],
      registers: [registry],
      collect(): void {
        this.reset();
        for (const { labels, bytes } of counted.values()) this.inc(labels, bytes);
      },
    });
  }

  /** Counts a message to or from `zone`; an empty name stands for a zone that is not known. */
  note(zone: string, { kind, direction, bytes }: TrafficNote): void {
    const place = this.placeOf(zone);
    this.add({ kind, place, direction }, bytes);
    if (place === TrafficPlace.OwnZone) return;
    const key = `${kind} ${direction}`;
    this.leaving.set(key, (this.leaving.get(key) ?? 0) + bytes);
  }

  /** Bytes that did not stay in the zone so far, by kind and direction. */
  leavingBytes(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.leaving);
  }

  private add(labels: CountedBytes['labels'], bytes: number): void {
    const key = `${labels.kind} ${labels.place} ${labels.direction}`;
    const known = this.counted.get(key);
    if (known === undefined) this.counted.set(key, { labels, bytes });
    else known.bytes += bytes;
  }

  private placeOf(zone: string): TrafficPlace {
    if (zone === '') return TrafficPlace.UnknownZone;
    return zone === this.ownZone ? TrafficPlace.OwnZone : TrafficPlace.OtherZone;
  }
}
