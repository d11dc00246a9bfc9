import { describe, expect, it } from 'vitest';
import { homeOf, preferZones } from '../../src/aggregation/group-home.js';

const ZONES = ['a', 'b', 'c', 'd'];

describe('the zone that asks a shard', () => {
  it('is the own one where it holds a replica', () => {
    const preferred = preferZones({ name: 'gateway-1', zone: 'b' }, ZONES);
    expect([...preferred].sort()).toEqual(ZONES);
    expect(homeOf(preferred, new Set(['a', 'b']))).toBe('b');
  });

  it('is another one that holds a replica otherwise, by turns over the gateways', () => {
    const homes = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const preferred = preferZones({ name: `gateway-${index}`, zone: 'd' }, ZONES);
      homes.add(homeOf(preferred, new Set(['a', 'b', 'c'])));
    }
    expect([...homes].sort()).toEqual(['a', 'b', 'c']);
  });

  it('is the first one while no replica is known', () => {
    expect(homeOf(['a', 'b'], new Set())).toBe('a');
  });

  it('is never one without leaves', () => {
    const preferred = preferZones({ name: 'gateway-1', zone: 'x' }, ZONES);
    expect([...preferred].sort()).toEqual(ZONES);
  });
});
