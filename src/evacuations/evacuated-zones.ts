/** A gateway's view of the evacuated zones, merged from the messages of several controllers. */
import type { ZoneEvacuation } from './zone-evacuation.js';

/** A lower revision never replaces a higher one of the same zone, whichever controller sent it. */
export class EvacuatedZones {
  private readonly latestByZone = new Map<string, ZoneEvacuation>();
  private evacuated: ReadonlySet<string> = new Set();

  /** Zones whose replicas must not receive new requests. */
  get zones(): ReadonlySet<string> {
    return this.evacuated;
  }

  /** Applies a controller's message; false when its revision is not newer than the known one. */
  update(evacuation: ZoneEvacuation): boolean {
    const known = this.latestByZone.get(evacuation.zone);
    if (known !== undefined && known.revision >= evacuation.revision) return false;
    this.latestByZone.set(evacuation.zone, evacuation);
    const evacuated = [...this.latestByZone.values()].filter(({ isEvacuated }) => isEvacuated);
    this.evacuated = new Set(evacuated.map(({ zone }) => zone));
    return true;
  }
}
