import { describe, expect, it } from 'vitest';
import {
  InvalidRouteDocumentError,
  readRouteDocument,
} from '../../src/routes/read-route-document.js';
import type { RouteDocument } from '../../src/routes/route-document.js';
import { RouteTable } from '../../src/routes/route-table.js';

const ROUTE = { host: 'a.example', pathPrefix: '/x/', timeoutMs: 100, service: 'one' };
const SECRET = 'correct-horse-battery-staple';
const TENANTS = 10_000;
const KEYS_OF_EACH = 3;

function documentOf(tenants: unknown): object {
  return { version: 1, routes: [ROUTE], services: [{ name: 'one' }], tenants };
}

function read(tenants: unknown): RouteDocument {
  return readRouteDocument(Buffer.from(JSON.stringify(documentOf(tenants))));
}

function problemsOf(bytes: string): readonly string[] {
  try {
    readRouteDocument(Buffer.from(bytes));
    return [];
  } catch (error) {
    if (error instanceof InvalidRouteDocumentError) return error.problems;
    throw error;
  }
}

function manyTenants(): { name: string; keys: string[]; requestsPerSecond: number }[] {
  return Array.from({ length: TENANTS }, (_, tenant) => ({
    name: `tenant-${tenant}`,
    keys: Array.from({ length: KEYS_OF_EACH }, (__, key) => `${tenant}-${key}`.padStart(40, 'k')),
    requestsPerSecond: 20,
  }));
}

describe('readRouteDocument with invalid tenants', () => {
  const one = { name: 'one', keys: [SECRET] };
  const wrong: readonly [string, unknown, string][] = [
    ['a key of two tenants', [one, { name: 'two', keys: ['x', SECRET] }], 'tenants.1.keys.1'],
    ['a name of two tenants', [one, { name: 'one', keys: ['x'] }], 'tenants.1.name'],
    ['no name', [{ keys: [SECRET] }], 'tenants.0.name'],
    ['an empty name', [{ name: '', keys: [SECRET] }], 'tenants.0.name'],
    ['no keys', [{ name: 'one' }], 'tenants.0.keys'],
    ['an empty key', [{ name: 'one', keys: [SECRET, ''] }], 'tenants.0.keys.1'],
    ['a key that is too long', [{ name: 'one', keys: [SECRET.repeat(20)] }], 'tenants.0.keys.0'],
    ['a key that is not a string', [{ name: 'one', keys: [[SECRET]] }], 'tenants.0.keys.0'],
    ['keys that are not an array', [{ name: 'one', keys: SECRET }], 'tenants.0.keys'],
    ['a limit that is not a number', [{ ...one, requestsPerSecond: SECRET }], 'requestsPerSecond'],
    ['a limit below 0', [{ ...one, requestsPerSecond: -1 }], 'tenants.0.requestsPerSecond'],
    ['a burst that is not a number', [{ ...one, burst: '5' }], 'tenants.0.burst'],
    ['a priority that is not an integer', [{ ...one, priority: 0.5 }], 'tenants.0.priority'],
    ['tenants that are not an array', { [SECRET]: one }, 'tenants'],
  ];
  for (const [name, tenants, place] of wrong) {
    it(`rejects ${name}, and reports the path but no key`, () => {
      const text = problemsOf(JSON.stringify(documentOf(tenants))).join('; ');
      expect(text).toContain(place);
      expect(text).not.toContain(SECRET);
    });
  }

  it('rejects a limit that overflows a number', () => {
    const text = JSON.stringify(documentOf([{ ...one, burst: 7 }])).replace('7', '1e999');
    expect(problemsOf(text).join('; ')).toContain('tenants.0.burst');
  });

  it('reports no key when the document is not JSON, wherever it is truncated', () => {
    const text = JSON.stringify(documentOf([one]));
    for (let length = 1; length < text.length; length += 1) {
      for (const broken of [text.slice(0, length), `${text.slice(0, length)}?${SECRET}`]) {
        const problems = problemsOf(broken).join('; ');
        expect(problems).toContain('not JSON');
        expect(problems).not.toContain(SECRET.slice(0, 4));
      }
    }
  });
});

describe('tenants of a RouteTable', () => {
  it('finds a tenant by each of its keys and by no other text', () => {
    const { tenants } = new RouteTable(read([{ name: 'one', keys: [SECRET, 'other'] }]));
    expect(tenants?.findByKey(SECRET)?.name).toBe('one');
    expect(tenants?.findByKey('other')?.name).toBe('one');
    for (const key of ['', 'OTHER', ' other', `${SECRET}, ${SECRET}`, 'k'.repeat(100_000)]) {
      expect(tenants?.findByKey(key)).toBeUndefined();
    }
  });

  it('accepts tenants without keys, and tenants that list a key twice', () => {
    const { tenants } = new RouteTable(
      read([
        { name: 'locked out', keys: [] },
        { name: 'one', keys: [SECRET, SECRET] },
      ]),
    );
    expect(tenants?.findByName('locked out')).toBeDefined();
    expect(tenants?.findByKey('')).toBeUndefined();
    expect(tenants?.findByKey(SECRET)?.name).toBe('one');
  });

  it('does not retain keys', () => {
    const { tenants } = new RouteTable(read([{ name: 'one', keys: [SECRET] }]));
    const kept = [...(tenants?.tenants ?? [])];
    expect(kept).toEqual([{ name: 'one', requestsPerSecond: 0, burst: 0 }]);
  });

  it('finds every key at the documented maximum size of 10,000 tenants with 30,000 keys', () => {
    const { tenants } = new RouteTable(read(manyTenants()));
    const missed = manyTenants().flatMap(({ name, keys }) =>
      keys.filter((key) => tenants?.findByKey(key)?.name !== name),
    );
    expect(missed).toEqual([]);
  });

  it('reuses the directory of the previous table while no tenant has changed', () => {
    const first = new RouteTable(read([{ name: 'one', keys: [SECRET] }]));
    const same = new RouteTable(read([{ name: 'one', keys: [SECRET] }]), first);
    const others = [
      [{ name: 'one', keys: ['other'] }],
      [{ name: 'one', keys: [SECRET], burst: 5 }],
      [{ name: 'two', keys: [SECRET] }],
    ];
    expect(same.tenants).toBe(first.tenants);
    for (const tenants of others) {
      const table = new RouteTable(read(tenants), first);
      expect(table.tenants).not.toBe(first.tenants);
      expect(table.tenants?.findByKey(SECRET)?.name).toBe(
        tenants[0]?.keys[0] === SECRET ? tenants[0].name : undefined,
      );
    }
  });
});
