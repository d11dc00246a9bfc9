import { describe, expect, it } from 'vitest';
import {
  chooseControllers,
  FollowState,
  rankControllers,
} from '../../src/directory/controller-choice.js';

const CONTROLLERS = ['a', 'a', 'b', 'b', 'c', 'c'].map((zone, index) => ({
  address: `10.0.0.${index}:7500`,
  zone,
}));
const OPTIONS = { ownName: 'gateway-1', ownZone: 'b', count: 2 };

function choose(states: Readonly<Record<string, FollowState>>, fallback: FollowState): string[] {
  return chooseControllers(CONTROLLERS, OPTIONS, (address) => states[address] ?? fallback);
}

describe('choice of controllers for a gateway', () => {
  it('prefers controllers of the gateway zone, then others that differ between gateways', () => {
    const ranked = rankControllers(CONTROLLERS, OPTIONS);
    expect(ranked.slice(0, 2).map(({ zone }) => zone)).toEqual(['b', 'b']);
    const next = Array.from(
      { length: 40 },
      (_, index) => rankControllers(CONTROLLERS, { ...OPTIONS, ownName: `g-${index}` })[2]?.address,
    );
    expect(new Set(next).size).toBe(4);
  });

  it('chooses all controllers while none is fresh or may become it', () => {
    expect(choose({}, FollowState.Unusable)).toHaveLength(CONTROLLERS.length);
  });

  // Guards against a fleet that follows every controller at once after the loss of all.
  it('chooses the requested number of controllers while they may become fresh', () => {
    const [first, second] = rankControllers(CONTROLLERS, OPTIONS);
    expect(choose({}, FollowState.Pending)).toEqual([first?.address, second?.address]);
  });

  it('chooses the requested number of controllers when all are fresh', () => {
    const [first, second] = rankControllers(CONTROLLERS, OPTIONS);
    expect(choose({}, FollowState.Fresh)).toEqual([first?.address, second?.address]);
  });

  it('adds just the next controller when one is unusable', () => {
    const [first, second, third, fourth] = rankControllers(CONTROLLERS, OPTIONS).map(
      ({ address }) => address,
    );
    const states = {
      [first ?? '']: FollowState.Unusable,
      [second ?? '']: FollowState.Fresh,
      [third ?? '']: FollowState.Pending,
    };
    expect(choose(states, FollowState.Unusable)).toEqual([first, second, third]);
    const later = { ...states, [third ?? '']: FollowState.Unusable };
    expect(choose(later, FollowState.Unusable)).toEqual(
      rankControllers(CONTROLLERS, OPTIONS).map(({ address }) => address),
    );
    expect(fourth).toBeDefined();
  });
});
