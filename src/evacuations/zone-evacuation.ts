/** Evacuation state of a zone: whether its replicas may receive new requests. */

/** The latest order for one zone. */
export interface ZoneEvacuation {
  readonly zone: string;
  /** True while the zone's replicas must not receive new requests. */
  readonly isEvacuated: boolean;
  /**
   * Counter over all zones, incremented by each order that is carried out; the higher one is the
   * later.
   */
  readonly revision: number;
}
