/** In which region each zone lies, and where the requests of a route may go. */
import type { Route } from '../routes/route-document.js';
import type { ReplicaTarget } from './replica-target.js';

/** See the module comment. */
export class ZoneRegions {
  private readonly regions: ReadonlyMap<string, string>;

  constructor(
    /** By zone; the gateway's own zone is added. */
    regionOfZone: Readonly<Record<string, string>>,
    own: { readonly zone: string; readonly region: string },
  ) {
    this.regions = new Map([...Object.entries(regionOfZone), [own.zone, own.region]]);
  }

  /** Whether some zone is closed to the route, or may be because its region is not known. */
  restricts({ allowedRegions }: Route): boolean {
    if (allowedRegions === undefined) return false;
    return [...this.regions.values()].some((region) => !allowedRegions.includes(region));
  }

  /** Those of `targets` that may get requests of the route. */
  permitted(
    { allowedRegions }: Route,
    targets: readonly ReplicaTarget[],
  ): readonly ReplicaTarget[] {
    if (allowedRegions === undefined) return targets;
    return targets.filter(({ entry }) => {
      const region = this.regions.get(entry.zone);
      return region !== undefined && allowedRegions.includes(region);
    });
  }
}
