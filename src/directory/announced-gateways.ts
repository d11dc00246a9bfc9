/**
 * The gateways that controllers announce, merged over several streams. A gateway that a stream has
 * announced stays known for a while after that stream has ended: a controller that has just started
 * announces only the gateways that already follow it again.
 */
import type { Clock } from '../seams/clock.js';
import { GATEWAY_RETENTION_MS } from './directory-timing.js';
import type { KnownGateway } from './leaf-gateway.js';

/** What a stream currently announces, by name. */
export type Announcement = ReadonlyMap<string, KnownGateway>;

interface RetainedGateway {
  readonly gateway: KnownGateway;
  /** Clock reading. */
  readonly until: number;
}

/** Options of {@link AnnouncedGateways}. */
export interface AnnouncedGatewaysOptions {
  readonly clock: Clock;
  /** What the open streams announce; empty while none is open. */
  readonly announcements: () => readonly Announcement[];
  /** Reduces the merged gateways to those in use. */
  readonly select: (gateways: readonly KnownGateway[]) => readonly KnownGateway[];
}

/** Call the methods for each change of a stream; {@link AnnouncedGateways.current} is cheap to read. */
export class AnnouncedGateways {
  private merged: readonly KnownGateway[] = [];
  private readonly retained = new Map<string, RetainedGateway>();
  /** Earliest end of a retention. Clock reading. */
  private nextExpiryAt = Infinity;
  /** Whether no stream has been open since the last merge. */
  private isUnannounced = false;

  constructor(private readonly options: AnnouncedGatewaysOptions) {}

  /**
   * The known gateways; a new array is created on every change. Keeps the last list while no stream
   * is open.
   */
  get current(): readonly KnownGateway[] {
    if (this.options.clock.now() >= this.nextExpiryAt) this.merge();
    return this.merged;
  }

  /** Handles new announcements of the open streams; `gone` are the gateways that one of them withdrew. */
  update(gone: readonly string[] = []): void {
    for (const name of gone) this.retained.delete(name);
    this.merge();
  }

  /** Handles the end of a stream. Until it ended, it announced `announcement`. */
  handleStreamEnd(announcement: Announcement): void {
    this.retain(announcement.values());
    this.merge();
  }

  private retain(gateways: Iterable<KnownGateway>): void {
    const until = this.options.clock.now() + GATEWAY_RETENTION_MS;
    for (const gateway of gateways) this.retained.set(gateway.name, { gateway, until });
  }

  private merge(): void {
    const announcements = this.options.announcements();
    if (announcements.length === 0) {
      this.isUnannounced = true;
      return;
    }
    // The time without a stream does not count, as no controller could announce anything.
    if (this.isUnannounced) this.retain(this.merged);
    this.isUnannounced = false;
    const known = this.takeRetained();
    for (const announcement of announcements) {
      for (const gateway of announcement.values()) known.set(gateway.name, gateway);
    }
    this.replace(this.options.select([...known.values()]));
  }

  /** Keeps the array when its gateways are the same, as what is computed from it is cached by its identity. */
  private replace(gateways: readonly KnownGateway[]): void {
    const addresses = new Map(this.merged.map(({ name, address }) => [name, address]));
    const isSame =
      gateways.length === this.merged.length &&
      gateways.every(({ name, address }) => addresses.get(name) === address);
    if (!isSame) this.merged = gateways;
  }

  /** Returns the retained gateways by name, and drops those whose time is over. */
  private takeRetained(): Map<string, KnownGateway> {
    const now = this.options.clock.now();
    const known = new Map<string, KnownGateway>();
    this.nextExpiryAt = Infinity;
    for (const [name, { gateway, until }] of this.retained) {
      if (until <= now) {
        this.retained.delete(name);
        continue;
      }
      known.set(name, gateway);
      this.nextExpiryAt = Math.min(this.nextExpiryAt, until);
    }
    return known;
  }
}
