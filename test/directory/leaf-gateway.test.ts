import { describe, expect, it } from 'vitest';
import { chooseLeaves, MAXIMUM_LEAVES_PER_ZONE } from '../../src/directory/leaf-gateway.js';

function gatewaysOf(
  zone: string,
  count: number,
): { name: string; zone: string; address: string }[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${zone}-${index}`,
    zone,
    address: `10.0.0.${index}:1`,
  }));
}

function namesOf(gateways: readonly { readonly name: string }[]): string[] {
  return gateways.map(({ name }) => name).sort();
}

describe('choice of leaf gateways', () => {
  it('chooses a bounded number of gateways in each zone', () => {
    const leaves = chooseLeaves([...gatewaysOf('a', 100), ...gatewaysOf('b', 3)]);
    expect(leaves.filter(({ zone }) => zone === 'a')).toHaveLength(MAXIMUM_LEAVES_PER_ZONE);
    expect(leaves.filter(({ zone }) => zone === 'b')).toHaveLength(3);
  });

  it('does not depend on the order of the gateways', () => {
    const gateways = gatewaysOf('a', 40);
    expect(namesOf(chooseLeaves([...gateways].reverse()))).toEqual(namesOf(chooseLeaves(gateways)));
  });

  it('replaces just one leaf gateway when one leaves', () => {
    const gateways = gatewaysOf('a', 40);
    const before = namesOf(chooseLeaves(gateways));
    const after = namesOf(chooseLeaves(gateways.filter(({ name }) => name !== before[0])));
    expect(after.filter((name) => !before.includes(name))).toHaveLength(1);
  });

  it('leaves out gateways without an address for gathers', () => {
    expect(chooseLeaves([{ name: 'a', zone: 'a', address: '' }])).toEqual([]);
  });
});
