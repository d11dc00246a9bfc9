import { describe, expect, it } from 'vitest';
import { ControllerRoster } from '../../src/directory/controller-roster.js';
import type { KnownGateway } from '../../src/directory/leaf-gateway.js';

/** The controllers c1 to c3, one in each of the zones z1 to z3, from the point of view of c1. */
class Group {
  connected = ['c2', 'c3'];
  members = ['c1', 'c2', 'c3'];
  readonly roster = new ControllerRoster({
    ownName: 'c1',
    ownZone: 'z1',
    members: () => this.members.map((memberId) => ({ memberId, address: `${memberId}:1` })),
    connected: () => this.connected.map((name) => ({ name, zone: zoneOf(name), address: '' })),
  });

  constructor() {
    for (const name of this.connected) this.roster.recordConnected(name, zoneOf(name));
  }
}

function zoneOf(controller: string): string {
  return controller.replace('c', 'z');
}

function gatewayIn(zone: string, name = 'gateway'): KnownGateway {
  return { name, zone, address: '' };
}

describe('ControllerRoster', () => {
  it('is preferred by gateways of its own zone, not by those of zones with a connected controller', () => {
    const { roster } = new Group();
    expect(roster.isPreferredFor(gatewayIn('z1'))).toBe(true);
    expect(roster.isPreferredFor(gatewayIn('z2'))).toBe(false);
  });

  it('is preferred by some gateways of a zone whose controller is lost, and still names that controller as responsible', () => {
    const group = new Group();
    group.connected = ['c3'];
    const names = Array.from({ length: 40 }, (_name, index) => `gateway-${index}`);
    const first = names.filter((name) => group.roster.isPreferredFor(gatewayIn('z2', name)));
    expect(first.length).toBeGreaterThan(5);
    expect(first.length).toBeLessThan(35);
    expect(group.roster.responsibleFor('z2')).toEqual(['c2']);
  });

  it('is preferred by and responsible for gateways of a zone without a controller', () => {
    const group = new Group();
    group.connected = [];
    expect(group.roster.isPreferredFor(gatewayIn('z9'))).toBe(true);
    expect(group.roster.responsibleFor('z9')).toEqual(['c1']);
  });

  it('forgets the zones of controllers that have left the group', () => {
    const group = new Group();
    group.members = ['c1', 'c3'];
    group.connected = ['c3'];
    group.roster.recordConnected('c3', 'z3');
    group.members = ['c1', 'c2', 'c3'];
    expect(group.roster.all().map(({ zone }) => zone)).toEqual(['z1', '', 'z3']);
  });
});
