import { describe, expect, it } from 'vitest';
import { selectZone, rankZones } from '../../src/aggregation/zone-selection.js';

const ZONES = ['a', 'b', 'c', 'd'];

describe('the zone in which a shard is queried', () => {
  it('is the zone of the root where it has a replica', () => {
    const rankedZones = rankZones({ name: 'gateway-1', zone: 'b' }, ZONES);
    expect([...rankedZones].sort()).toEqual(ZONES);
    expect(selectZone(rankedZones, new Set(['a', 'b']))).toBe('b');
  });

  it('is otherwise another zone with a replica, spread over the zones by the name of the root', () => {
    const zones = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const rankedZones = rankZones({ name: `gateway-${index}`, zone: 'd' }, ZONES);
      zones.add(selectZone(rankedZones, new Set(['a', 'b', 'c'])));
    }
    expect([...zones].sort()).toEqual(['a', 'b', 'c']);
  });

  it('is the first ranked zone while no replica is known', () => {
    expect(selectZone(['a', 'b'], new Set())).toBe('a');
  });

  it('is never a zone without leaves', () => {
    const rankedZones = rankZones({ name: 'gateway-1', zone: 'x' }, ZONES);
    expect([...rankedZones].sort()).toEqual(ZONES);
  });
});
