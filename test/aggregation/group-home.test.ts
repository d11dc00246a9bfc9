import { describe, expect, it } from 'vitest';
import { selectZone, rankZones } from '../../src/aggregation/zone-selection.js';

const ZONES = ['a', 'b', 'c', 'd'];

describe('the zone that asks a shard', () => {
  it('is the own one where it holds a replica', () => {
    const preferred = rankZones({ name: 'gateway-1', zone: 'b' }, ZONES);
    expect([...preferred].sort()).toEqual(ZONES);
    expect(selectZone(preferred, new Set(['a', 'b']))).toBe('b');
  });

  it('is another one that holds a replica otherwise, by turns over the gateways', () => {
    const homes = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const preferred = rankZones({ name: `gateway-${index}`, zone: 'd' }, ZONES);
      homes.add(selectZone(preferred, new Set(['a', 'b', 'c'])));
    }
    expect([...homes].sort()).toEqual(['a', 'b', 'c']);
  });

  it('is the first one while no replica is known', () => {
    expect(selectZone(['a', 'b'], new Set())).toBe('a');
  });

  it('is never one without leaves', () => {
    const preferred = rankZones({ name: 'gateway-1', zone: 'x' }, ZONES);
    expect([...preferred].sort()).toEqual(ZONES);
  });
});
