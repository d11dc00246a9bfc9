/** Whether the replicas of a zone may get new requests. */

/** The last order about one zone. */
export interface ZoneEvacuation {
  readonly zone: string;
  /** True while nothing new is to go to replicas of the zone. */
  readonly isEvacuated: boolean;
  /** Grows with each order of any zone that changed something; of two orders the higher one is the later. */
  readonly revision: number;
}
