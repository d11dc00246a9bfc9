/** The region of each zone, and the restriction of a route's requests to its allowed regions. */
import type { Route } from '../routes/route-document.js';
import type { ReplicaTarget } from './replica-target.js';

/** Excludes zones without a known region wherever a route restricts regions. */
export class ZoneRegions {
  private readonly regions: ReadonlyMap<string, string>;

  constructor(
    /** Region by zone name; the gateway's own zone is added. */
    regionOfZone: Readonly<Record<string, string>>,
    own: { readonly zone: string; readonly region: string },
  ) {
    this.regions = new Map([...Object.entries(regionOfZone), [own.zone, own.region]]);
  }

  /**
   * Whether the route disallows the region of some zone. Zones without a configured region are not
   * considered.
   */
  restricts({ allowedRegions }: Route): boolean {
    if (allowedRegions === undefined) return false;
    return [...this.regions.values()].some((region) => !allowedRegions.includes(region));
  }

  /** Filters `targets` to those in regions that the route allows. */
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
