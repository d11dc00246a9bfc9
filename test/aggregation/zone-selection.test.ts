import { describe, expect, it } from 'vitest';
import { selectZone, rankZones } from '../../src/aggregation/zone-selection.js';

const ZONES = ['a', 'b', 'c', 'd'];

describe('the zone in which a shard is queried', () => {
  it('is the zone of the root where it has a replica', () => {
    const preferred = rankZones({ name: 'gateway-1', zone: 'b' }, ZONES);
    expect([...preferred].sort()).toEqual(ZONES);
    expect(selectZone(preferred, new Set(['a', 'b']))).toBe('b');
  });

  it('is otherwise another zone with a replica, spread over the zones by the name of the root', () => {
    const homes = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const preferred = rankZones({ name: `gateway-${index}`, zone: 'd' }, ZONES);
      homes.add(selectZone(preferred, new Set(['a', 'b', 'c'])));
    }
    expect([...homes].sort()).toEqual(['a', 'b', 'c']);
  });

  it('is the first ranked zone while no replica is known', () => {
    expect(selectZone(['a', 'b'], new Set())).toBe('a');
  });

  it('is never a zone without leaves', () => {
    const preferred = rankZones({ name: 'gateway-1', zone: 'x' }, ZONES);
    expect([...preferred].sort()).toEqual(ZONES);
  });
});
