/** The evacuated zones as a gateway knows them, from the word of several controllers. */
import type { ZoneEvacuation } from './zone-evacuation.js';

/** See the module comment. Older word never replaces newer, whoever sends it. */
export class EvacuatedZones {
  private readonly latestByZone = new Map<string, ZoneEvacuation>();
  private evacuated: ReadonlySet<string> = new Set();

  /** Zones to whose replicas nothing new may go. */
  get zones(): ReadonlySet<string> {
    return this.evacuated;
  }

  /** Takes a controller's word; true when it was newer than what was known. */
  update(evacuation: ZoneEvacuation): boolean {
    const known = this.latestByZone.get(evacuation.zone);
    if (known !== undefined && known.revision >= evacuation.revision) return false;
    this.latestByZone.set(evacuation.zone, evacuation);
    const evacuated = [...this.latestByZone.values()].filter(({ isEvacuated }) => isEvacuated);
    this.evacuated = new Set(evacuated.map(({ zone }) => zone));
    return true;
  }
}
