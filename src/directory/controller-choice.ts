/**
 * Chooses the controllers that a gateway follows. Controllers of the gateway's own zone come first,
 * because their streams cross no zone boundary; the others are ranked by rendezvous hashing, which
 * spreads them over the gateways. A gateway follows further controllers while the first ones are
 * not fresh.
 */
import { rankByRendezvousHash } from './leaf-gateway.js';

/** A controller as known to subscribers. */
export interface KnownController {
  /** `host:port` for internal messages. */
  readonly address: string;
  /** Empty while the zone is unknown. */
  readonly zone: string;
}

/** The gateway that chooses, and how many controllers it wants. */
export interface ControllerChoiceOptions {
  readonly ownName: string;
  readonly ownZone: string;
  /** Number of controllers to follow at once. */
  readonly count: number;
}

/** State of a controller from the point of view of a gateway that may follow it. */
export enum FollowState {
  /** The controller is followed, has recent information and is not about to stop. */
  Fresh = 'fresh',
  /** The controller may become fresh: it was dialled or reached recently, or would be dialled now. */
  Pending = 'pending',
  /** The controller cannot be reached, is partitioned from its group, or is about to stop. */
  Unusable = 'unusable',
}

/** Returns `controllers` in the order in which the gateway prefers to follow them. */
export function rankControllers<T extends KnownController>(
  controllers: readonly T[],
  { ownName, ownZone }: Pick<ControllerChoiceOptions, 'ownName' | 'ownZone'>,
): T[] {
  const ranked = rankByRendezvousHash(ownName, controllers, ({ address }) => address);
  return [
    ...ranked.filter(({ zone }) => zone === ownZone),
    ...ranked.filter(({ zone }) => zone !== ownZone),
  ];
}

/**
 * Returns the addresses to follow: controllers in order of preference until `count` of them are
 * fresh or pending. Also while none is fresh: after the loss of all controllers a fleet that follows
 * each of them at once keeps them from electing a leader.
 */
export function chooseControllers(
  controllers: readonly KnownController[],
  options: ControllerChoiceOptions,
  stateOf: (address: string) => FollowState,
): string[] {
  const ranked = rankControllers(controllers, options).map(({ address }) => address);
  const chosen: string[] = [];
  let usableCount = 0;
  for (const address of ranked) {
    if (usableCount >= options.count) break;
    chosen.push(address);
    if (stateOf(address) !== FollowState.Unusable) usableCount += 1;
  }
  return chosen;
}
