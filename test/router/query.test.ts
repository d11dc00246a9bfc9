import { describe, expect, it } from 'vitest';
import { RouterHarness } from './support/router-harness.js';

describe('a query', () => {
  it('queries one replica of every shard and merges the replies in layout order', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    const { status, answer } = await harness.query();
    expect(status).toBe(200);
    expect(answer.coverage).toEqual({
      required: 1,
      reached: ['shard-0', 'shard-1', 'shard-2'],
      missing: [],
      fraction: 1,
    });
    expect(answer.results.map(({ shardId }) => shardId)).toEqual(answer.coverage.reached);
    expect(answer.snapshot).toEqual({ layoutEpoch: 1, indexVersion: 1 });
    expect(answer.settingsRevision).toBe(1);
    expect(answer.attempts).toEqual({ primary: 3, hedges: 0, retries: 0 });
    expect(harness.attempts).toHaveLength(3);
  });
});
