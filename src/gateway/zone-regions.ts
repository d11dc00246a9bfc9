/** The region of each zone, and the restriction of a route's requests to its allowed regions. */
import type { Route } from '../routes/route-document.js';
import type { ReplicaTarget } from './replica-target.js';

/** Knows the regions that the settings of this gateway name, and its own. */
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
   * Whether the route disallows the region of some zone that has a known region. Zones without one
   * do not count here, although `permitted` excludes their replicas.
   */
  restricts({ allowedRegions }: Route): boolean {
    if (allowedRegions === undefined) return false;
    return [...this.regions.values()].some((region) => !allowedRegions.includes(region));
  }

  /**
   * Filters `targets` to those in regions that the route allows. If the route restricts regions,
   * replicas in zones without a known region are excluded.
   */
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
