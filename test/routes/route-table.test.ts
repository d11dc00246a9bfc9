import { describe, expect, it } from 'vitest';
import { routeDocumentSchema, type RouteDocument } from '../../src/routes/route-document.js';
import { RouteTable } from '../../src/routes/route-table.js';

function documentOf(version: number, ...lists: (readonly string[])[]): RouteDocument {
  const names = [...new Set(lists.flat())];
  return routeDocumentSchema.parse({
    version,
    routes: lists.map((shards, index) => ({
      host: 'desk.example',
      pathPrefix: `/${index}/`,
      timeoutMs: 1_000,
      shards: [...shards],
    })),
    services: names.map((name) => ({ name })),
  });
}

describe('shard lists of a RouteTable', () => {
  it('contains equal lists of several routes once, and reuses lists of the previous table', () => {
    const first = new RouteTable(documentOf(1, ['a', 'b'], ['a', 'b'], ['b']));
    expect(first.shardLists.map(({ shards }) => shards)).toEqual([['a', 'b'], ['b']]);
    const second = new RouteTable(documentOf(2, ['b'], ['a', 'b'], ['c']), first);
    const kept = first.match('desk.example', '/0/x')?.shards;
    expect(first.match('desk.example', '/1/x')?.shards).toBe(kept);
    expect(second.match('desk.example', '/1/x')?.shards).toBe(kept);
    expect(second.shardLists[1]).toBe(first.shardLists[0]);
    expect(second.match('desk.example', '/2/x')?.shards).toEqual(['c']);
  });

  it('distinguishes lists that differ in order only', () => {
    const table = new RouteTable(documentOf(1, ['a', 'b'], ['b', 'a']));
    expect(table.shardLists).toHaveLength(2);
  });
});
