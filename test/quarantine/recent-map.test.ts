import { describe, expect, it } from 'vitest';
import { RecentMap } from '../../src/quarantine/recent-map.js';

describe('RecentMap of bounded size', () => {
  it('evicts the entry that was set longest ago', () => {
    const map = new RecentMap<string, number>(2);
    map.set('a', 1);
    map.set('b', 2);
    map.set('a', 3);
    map.set('c', 4);
    expect([...map.values()]).toEqual([3, 4]);
    expect(map.get('b')).toBeUndefined();
    expect(map.size).toBe(2);
  });
});
