import { expect, it } from 'vitest';
import { formatStatus } from '../../src/operator/format-status.js';

const STATUS = {
  version: '0.1.0',
  memberId: 'controller-1',
  role: 'leader',
  leaderId: 'controller-1',
  term: 3,
  commitIndex: 9,
  appliedIndex: 9,
  lastIndex: 9,
  sinceQuorumMs: 20,
  revision: 4,
  members: [],
  force: null,
  daemons: [],
} as const;

it('shows the routes at each gateway, and who owes newer ones', () => {
  const place = { zone: 'nayoro', owedBy: ['controller-2'] };
  const text = formatStatus({
    ...STATUS,
    members: [],
    daemons: [],
    routes: {
      version: 9,
      gateways: [
        { ...place, gateway: 'gateway-1', version: 9, lackingMs: null },
        { ...place, gateway: 'gateway-2', version: 7, lackingMs: 2_400 },
        { ...place, gateway: 'gateway-3', version: -1, lackingMs: 30 },
      ],
    },
  });
  expect(text).toContain('Routes 9 are in force at 1 of 3 gateways.');
  expect(text).toMatch(/gateway-1 +nayoro +9 *\n/);
  expect(text).toMatch(/gateway-2 +nayoro +7 +for 2400 ms +controller-2/);
  expect(text).toMatch(/gateway-3 +nayoro +none +for 30 ms +controller-2/);
});

it('says nothing of gateways where none is known', () => {
  const routes = { version: null, gateways: [] };
  expect(formatStatus({ ...STATUS, members: [], daemons: [], routes })).not.toContain('GATEWAY');
});
