/**
 * Which controllers a gateway follows: one of its own zone first, whose stream
 * crosses no zone, then others, spread over the gateways. Further ones are
 * followed while those are not fresh.
 */
import { rankByRendezvousHash } from './leaf-gateway.js';

/** A controller as subscribers know it. */
export interface KnownController {
  /** `host:port` for internal messages. */
  readonly address: string;
  /** Empty while it is not known. */
  readonly zone: string;
}

/** Who chooses. */
export interface ControllerChoiceOptions {
  readonly ownName: string;
  readonly ownZone: string;
  /** Controllers that are followed at once. */
  readonly count: number;
}

/** How a controller that may be followed does. */
export enum FollowState {
  /** It tells fresh news. */
  Fresh = 'fresh',
  /** It has been dialled a moment ago. */
  Pending = 'pending',
  /** It is silent, cut off from the group or about to stop, or is not followed. */
  Unusable = 'unusable',
}

/** `controllers`, those that the gateway follows first in front. */
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
 * Addresses to follow: the first ones until enough of them are fresh or were
 * just dialled. All while none is fresh: nothing can be lost by asking everybody.
 */
export function chooseControllers(
  controllers: readonly KnownController[],
  options: ControllerChoiceOptions,
  stateOf: (address: string) => FollowState,
): string[] {
  const ranked = rankControllers(controllers, options).map(({ address }) => address);
  if (!ranked.some((address) => stateOf(address) === FollowState.Fresh)) return ranked;
  const chosen: string[] = [];
  let usableCount = 0;
  for (const address of ranked) {
    if (usableCount >= options.count) break;
    chosen.push(address);
    if (stateOf(address) !== FollowState.Unusable) usableCount += 1;
  }
  return chosen;
}
