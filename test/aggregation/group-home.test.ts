import { describe, expect, it } from 'vitest';
import { homeOfGroup, preferZones } from '../../src/aggregation/group-home.js';

const ZONES = ['a', 'b', 'c', 'd'];
const SHARDS = ['s1', 's2', 's3', 's4'];
/** No replica is in zone d. */
const REPLICATED = new Set(['a', 'b', 'c']);

describe('the zone that asks a group', () => {
  it('is the own one where it holds replicas of all shards', () => {
    const preferred = preferZones({ name: 'gateway-1', zone: 'b' }, ZONES);
    expect(preferred).toHaveLength(ZONES.length);
    expect(homeOfGroup(SHARDS, preferred, () => REPLICATED)).toBe('b');
  });

  it('is another one for a gateway of a zone without replicas, by turns over the gateways', () => {
    const homes = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const preferred = preferZones({ name: `gateway-${index}`, zone: 'd' }, ZONES);
      homes.add(homeOfGroup(SHARDS, preferred, () => REPLICATED));
    }
    expect([...homes].sort()).toEqual(['a', 'b', 'c']);
  });

  it('stays the own one while it lacks replicas of few shards', () => {
    const zonesOf = (shard: string): Set<string> => new Set(shard === 's1' ? ['c'] : ['a', 'c']);
    expect(homeOfGroup(SHARDS, ['a', 'b', 'c'], zonesOf)).toBe('a');
  });

  it('is the next one when it lacks replicas of most shards', () => {
    const zonesOf = (shard: string): Set<string> => new Set(shard === 's1' ? ['a', 'c'] : ['c']);
    expect(homeOfGroup(SHARDS, ['a', 'b', 'c'], zonesOf)).toBe('c');
  });

  it('is the one with the most replicas where none has enough', () => {
    const places: Readonly<Record<string, string>> = { s1: 'b' };
    const zonesOf = (shard: string): Set<string> => new Set([places[shard] ?? 'gone']);
    expect(homeOfGroup(SHARDS, ['a', 'b', 'c'], zonesOf)).toBe('b');
  });

  it('is the own one while no replica is known', () => {
    expect(homeOfGroup(SHARDS, ['a', 'b'], () => new Set())).toBe('a');
  });
});
