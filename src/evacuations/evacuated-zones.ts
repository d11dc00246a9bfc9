/** The evacuated zones as a gateway knows them, from the word of several controllers. */
import type { ZoneEvacuation } from './zone-evacuation.js';

/** See the module comment. Older word never replaces newer, whoever sends it. */
export class EvacuatedZones {
  private readonly byZone = new Map<string, ZoneEvacuation>();
  private evacuated: ReadonlySet<string> = new Set();

  /** Zones to whose replicas nothing new may go. */
  get zones(): ReadonlySet<string> {
    return this.evacuated;
  }

  /** Takes a controller's word; true when it was newer than what was known. */
  take(word: ZoneEvacuation): boolean {
    const known = this.byZone.get(word.zone);
    if (known !== undefined && known.revision >= word.revision) return false;
    this.byZone.set(word.zone, word);
    const evacuated = [...this.byZone.values()].filter(({ isEvacuated }) => isEvacuated);
    this.evacuated = new Set(evacuated.map(({ zone }) => zone));
    return true;
  }
}
