import { expect, it } from 'vitest';
import { joinGatewayRoutes } from '../../src/operator/join-gateway-routes.js';

function gateway(name: string, version: number, lackingMs: number | null) {
  return { gateway: name, zone: 'nayoro', version, lackingMs, owedBy: ['controller-1'] };
}

it('takes the later word of a gateway that several controllers know', () => {
  const joined = joinGatewayRoutes([
    { version: 7, gateways: [gateway('b', 6, 40), gateway('a', 7, null)] },
    { version: 8, gateways: [gateway('b', 7, 900), gateway('c', 5, 100)] },
    { version: 8, gateways: [gateway('c', 5, 2_000)] },
  ]);
  expect(joined.version).toBe(8);
  expect(joined.gateways).toEqual([
    gateway('a', 7, null),
    gateway('b', 7, 900),
    gateway('c', 5, 2_000),
  ]);
});

it('knows of no version before the first', () => {
  expect(joinGatewayRoutes([{ version: null, gateways: [] }])).toEqual({
    version: null,
    gateways: [],
  });
});
