import { describe, expect, it } from 'vitest';
import { encodeRequest } from '../../src/aggregation/encode-request.js';
import { AGGREGATION_CODEC } from '../../src/aggregation/aggregation-messages.js';
import { authenticate, KeyProblem } from '../../src/gateway/authentication.js';
import { priorityOf, type CallerRequest } from '../../src/gateway/caller-request.js';
import { readRouteDocument } from '../../src/routes/read-route-document.js';
import type { Route } from '../../src/routes/route-document.js';
import { RouteTable } from '../../src/routes/route-table.js';
import type { HttpHeaders, HttpRequest } from '../../src/seams/http.js';

const KEY_HEADER = 'x-key';
const ROUTE = { host: 'a.example', pathPrefix: '/x/', timeoutMs: 100, service: 'one', priority: 4 };
const TENANTS = [
  { name: 'urgent', keys: ['secret'], priority: 0 },
  { name: 'plain', keys: ['other'] },
];

function tableOf(tenants: unknown): RouteTable {
  const document = { version: 1, routes: [ROUTE], services: [{ name: 'one' }], tenants };
  return new RouteTable(readRouteDocument(Buffer.from(JSON.stringify(document))));
}

const TABLE = tableOf(TENANTS);

function routeOf(table: RouteTable): Route {
  return table.match('a.example', '/x/') ?? expect.fail('no route');
}

function requestWith(headers: HttpHeaders, repeated?: string): HttpRequest {
  return {
    method: 'GET',
    path: '/x/1',
    query: new URLSearchParams(),
    target: '/x/1',
    headers,
    body: new Uint8Array(0),
    signal: new AbortController().signal,
    remoteAddress: '',
    isRepeated: (name) => name === repeated,
  };
}

describe('authenticate', () => {
  it('refuses a repeated key header even when both keys are the same', () => {
    const request = requestWith({ [KEY_HEADER]: 'secret' }, KEY_HEADER);
    const result = authenticate(request, TABLE, routeOf(TABLE), KEY_HEADER);
    expect(result).toEqual({ problem: KeyProblem.Repeated });
  });

  it('accepts a request in which another header is repeated', () => {
    const request = requestWith({ [KEY_HEADER]: 'secret' }, 'accept');
    const result = authenticate(request, TABLE, routeOf(TABLE), KEY_HEADER);
    expect(result).toMatchObject({ tenant: { name: 'urgent' } });
  });

  it('ignores the key where the document names no tenants or the route is public', () => {
    const request = requestWith({ [KEY_HEADER]: 'stranger' }, KEY_HEADER);
    const open = tableOf(undefined);
    const publicRoute = { ...routeOf(TABLE), public: true };
    expect(authenticate(request, open, routeOf(open), KEY_HEADER)).toEqual({ tenant: undefined });
    expect(authenticate(request, TABLE, publicRoute, KEY_HEADER)).toEqual({ tenant: undefined });
  });
});

describe('the priority of a request', () => {
  const base = {
    id: 'id',
    method: 'GET',
    target: '/x/1',
    headers: {},
    body: new Uint8Array(0),
    table: TABLE,
    route: routeOf(TABLE),
  };
  const ranks: readonly [string, string | undefined, number][] = [
    ['its tenant', 'urgent', 0],
    ['its route where the tenant has none', 'plain', 4],
    ['its route where it needs no key', undefined, 4],
  ];
  for (const [what, name, rank] of ranks) {
    it(`is that of ${what}, also at other gateways`, () => {
      const tenant = name === undefined ? undefined : TABLE.tenants?.findByName(name);
      const request = { ...base, tenant } as CallerRequest;
      expect(priorityOf(request)).toBe(rank);
      const message = AGGREGATION_CODEC.decode(encodeRequest(request, 1), 'root');
      expect(message).toMatchObject({ kind: 'request', priority: rank });
    });
  }
});
