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

describe('the gateways that take gathers of others', () => {
  it('are a bounded number of each zone', () => {
    const leaves = chooseLeaves([...gatewaysOf('a', 100), ...gatewaysOf('b', 3)]);
    expect(leaves.filter(({ zone }) => zone === 'a')).toHaveLength(MAXIMUM_LEAVES_PER_ZONE);
    expect(leaves.filter(({ zone }) => zone === 'b')).toHaveLength(3);
  });

  it('are the same in whatever order the gateways are known', () => {
    const gateways = gatewaysOf('a', 40);
    expect(namesOf(chooseLeaves([...gateways].reverse()))).toEqual(namesOf(chooseLeaves(gateways)));
  });

  it('change by one when one of them goes', () => {
    const gateways = gatewaysOf('a', 40);
    const before = namesOf(chooseLeaves(gateways));
    const after = namesOf(chooseLeaves(gateways.filter(({ name }) => name !== before[0])));
    expect(after.filter((name) => !before.includes(name))).toHaveLength(1);
  });

  it('do not hold one that has no address for it', () => {
    expect(chooseLeaves([{ name: 'a', zone: 'a', address: '' }])).toEqual([]);
  });
});
