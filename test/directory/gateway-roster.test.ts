import { expect, it } from 'vitest';
import { RESTORED_GATEWAYS_MS } from '../../src/directory/directory-timing.js';
import { GatewayRoster } from '../../src/directory/gateway-roster.js';
import type { KnownGateway } from '../../src/directory/leaf-gateway.js';
import { ManualClock } from '../support/manual-clock.js';

function gateway(name: string): KnownGateway {
  return { name, zone: 'a', address: `${name}:1` };
}

function namesOf(gateways: Iterable<KnownGateway>): string[] {
  return [...gateways].map(({ name }) => name).sort();
}

it('names restored gateways as leaves until they can be expected to be back', () => {
  const clock = new ManualClock();
  const own = [gateway('one')];
  const roster = new GatewayRoster({ clock, own: () => own, others: () => [] });
  roster.useRestored([gateway('one'), gateway('two')]);
  expect(namesOf(roster.leaves)).toEqual(['one', 'two']);
  expect(namesOf(roster.all)).toEqual(['one']);
  expect(roster.count).toBe(2);
  own.push(gateway('three'));
  clock.advance(100);
  expect(namesOf(roster.leaves)).toEqual(['one', 'three', 'two']);
  clock.advance(RESTORED_GATEWAYS_MS);
  expect(namesOf(roster.leaves)).toEqual(['one', 'three']);
});
