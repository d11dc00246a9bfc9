import { describe, expect, it } from 'vitest';
import { ReplicaChannel } from '../../src/membership/replica-channel.js';
import { ReplicaRecord } from '../../src/membership/replica-record.js';
import { FakeNetwork } from '../router/support/fake-network.js';
import { createLayout } from '../router/support/router-harness.js';
import { VirtualClock } from '../router/support/virtual-clock.js';

function createRecord(): ReplicaRecord {
  const [shard] = createLayout(1, { shards: 1, replicas: 1 }).shards;
  const replica = shard?.replicas[0];
  if (replica === undefined) throw new Error('no replica');
  const channel = new ReplicaChannel(new FakeNetwork(new Map()), replica, 1_024);
  return new ReplicaRecord(replica, channel, new VirtualClock());
}

describe('a replica record', () => {
  it('counts an unfinished attempt only as a lower bound of the latency', () => {
    const record = createRecord();
    record.recordAnswer('1.1', 100);
    record.recordUnfinished(50);
    expect(record.smoothedLatency).toBe(100);
    record.recordUnfinished(200);
    expect(record.smoothedLatency).toBeGreaterThan(100);
  });
});
