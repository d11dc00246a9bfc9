import { describe, expect, it } from 'vitest';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];

describe('election and replication', () => {
  it('elects one leader and applies proposals of any member everywhere', async () => {
    const cluster = await RaftCluster.started(1, IDS);
    for (let number = 0; number < 12; number += 1) {
      const id = IDS[number % IDS.length] ?? '';
      expect(await cluster.propose(id, `command-${number}`)).toBe(
        `${number + 1}:command-${number}`,
      );
    }
    await cluster.converge();
    for (const id of IDS) expect(cluster.commandsOf(id)).toHaveLength(12);
    expect(cluster.violations).toEqual([]);
  });
});
