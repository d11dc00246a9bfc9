import { describe, expect, it, vi } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { FanOut } from '../../src/gateway/fan-out.js';
import { MAXIMUM_KEPT_PART_BYTES } from '../../src/gateway/shard-gather.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import { GatewayHarness, textOf } from './gateway-harness.js';

const NAMES = DEFAULT_EXCHANGE_HEADERS;
const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d'];
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.75 };

/** A record of 16 bytes that begins with `text`. */
function record(text: string): string {
  return text.padEnd(16, '.');
}

function partsOf({ headers }: HttpClientResponse): string[] {
  return (headers[NAMES.partSignatures] ?? '').split(', ').sort();
}

interface FanOutSetup {
  readonly harness: GatewayHarness;
  readonly replicas: readonly ExchangeReplica[];
}

/** Starts a gateway with two replicas of each shard. */
async function start(shards = SHARDS): Promise<FanOutSetup> {
  const harness = await GatewayHarness.start();
  const replicas: ExchangeReplica[] = [];
  for (const shard of shards) {
    const content = record(`${shard} low`) + record(`z ${shard}`) + 'rest';
    for (let copy = 0; copy < 2; copy += 1) replicas.push(await harness.addReplica(shard, content));
  }
  await harness.putRoutes([ROUTE]);
  return { harness, replicas };
}

describe('fan-out', () => {
  it('merges the greatest records of all shards and lists the signature of every part once', async () => {
    const { harness } = await start();
    const answer = await harness.call({ path: '/q/1', id: 'mine' });
    expect(answer.status).toBe(200);
    expect(textOf(answer)).toBe(record('z shard-d') + record('z shard-c') + record('z shard-b'));
    expect(answer.headers[NAMES.missingParts]).toBe('0');
    expect(partsOf(answer)).toHaveLength(SHARDS.length);
    expect(partsOf(answer).every((part) => part.endsWith('.mine'))).toBe(true);
  });

  it('reports the number of missing shards when enough shards answered', async () => {
    const { harness, replicas } = await start();
    const lost = replicas.filter(({ options }) => options.service === 'shard-b');
    for (const replica of lost) replica.behaviour = ReplicaBehaviour.Fail;
    const answer = await harness.call({ path: '/q/1' });
    expect(answer.status).toBe(200);
    expect(answer.headers[NAMES.missingParts]).toBe('1');
    expect(partsOf(answer).some((part) => part.startsWith('shard-b'))).toBe(false);
    expect(textOf(answer)).not.toContain('shard-b');
  });

  it('fails without claiming "not run" when too few shards answered', async () => {
    const { harness, replicas } = await start();
    const lost = replicas.filter(({ options }) => /shard-[bc]/.test(options.service));
    for (const replica of lost) replica.behaviour = ReplicaBehaviour.Unsigned;
    const { status } = await harness.call({ path: '/q/1' });
    expect([502, 504]).toContain(status);
  });

  it('responds before the target latency with the parts received, when they are enough', async () => {
    const { harness, replicas } = await start();
    const slow = replicas.filter(({ options }) => options.service === 'shard-a');
    for (const replica of slow) replica.workMs = 1_000;
    const { clock } = harness.machine.environment;
    const begunAt = clock.now();
    const answer = await harness.call({ path: '/q/1' });
    expect(answer.headers[NAMES.missingParts]).toBe('1');
    expect(clock.now() - begunAt).toBeLessThan(200);
  });

  it('takes all parts from the shards of one route table version while a new version is applied', async () => {
    const { harness, replicas } = await start();
    for (const replica of replicas) replica.workMs = 150;
    const other = ['other-a', 'other-b'];
    for (const shard of other) await harness.addReplica(shard, record(`z ${shard}`));
    const begun = harness.send({ path: '/q/1' });
    const exchanged = harness.putRoutes([{ ...ROUTE, shards: other }]);
    const before = await harness.simulation.settle(begun);
    expect(partsOf(before).every((part) => part.startsWith('shard-'))).toBe(true);
    await exchanged;
    const after = await harness.call({ path: '/q/1' });
    expect(partsOf(after).every((part) => part.startsWith('other-'))).toBe(true);
    expect(partsOf(after)).toHaveLength(other.length);
  });

  it('refuses as not run, and runs nothing, when too few shards have a replica', async () => {
    const { harness, replicas } = await start(['shard-a', 'shard-b']);
    const answer = await harness.call({ path: '/q/1' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(replicas.flatMap(({ runs }) => runs)).toEqual([]);
  });

  it('keeps second sends within the budget of each shard', async () => {
    const { harness, replicas } = await start();
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.LoseAnswer;
    const requests = 100;
    // A gateway uses 85 % of the ratio of 0.2, and starts with 15 % of the slack of 56.
    const bound = requests * 1.17 + 0.15 * 56;
    for (let index = 0; index < requests; index += 1) await harness.call({ path: '/q/1' });
    for (const shard of SHARDS) {
      const arrivals = replicas
        .filter(({ options }) => options.service === shard)
        .reduce((sum, replica) => sum + replica.arrivals, 0);
      expect(arrivals).toBeLessThanOrEqual(bound);
    }
  });

  // Guards against whole answers of megabytes that are held for each shard until the slowest one has answered.
  it('keeps no more of a long part than the greatest records', async () => {
    const { harness, replicas } = await start();
    const filler = record('a').repeat(MAXIMUM_KEPT_PART_BYTES);
    for (const replica of replicas) replica.content = filler + replica.content;
    const kept = vi.spyOn(FanOut.prototype, 'onParts');
    const answer = await harness.call({ path: '/q/1' });
    const lengths = kept.mock.calls.map(([{ records }]) => records.buffer.byteLength);
    kept.mockRestore();
    expect(lengths).toHaveLength(SHARDS.length);
    for (const length of lengths) expect(length).toBeLessThanOrEqual(MAXIMUM_KEPT_PART_BYTES);
    expect(textOf(answer)).toBe(record('z shard-d') + record('z shard-c') + record('z shard-b'));
  });
});
