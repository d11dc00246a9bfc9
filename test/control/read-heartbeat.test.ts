import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { readHeartbeat } from '../../src/control/read-heartbeat.js';
import { DirectoryKind, ReplicaDirectory } from '../../src/directory/replica-directory.js';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import { UnusableReason } from '../../src/observability/unusable-entries.js';
import { AutomaticGroup } from './automatic-group.js';

const FUZZ_SEED = 11;
const VALID_HEARTBEAT = {
  service: 'ledger',
  address: '10.0.0.9:80',
  zone: 'nayoro',
  capacity: 2,
  state: 'ready',
  sequence: 3,
  warmupRemainingMs: 0,
  born: 1_790_000_000_000,
};

function bytesOf(content: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(content) ?? '');
}

function problemOf(content: unknown): unknown {
  const reading = readHeartbeat('i-1', bytesOf(content));
  return 'problem' in reading ? reading.problem : undefined;
}

describe('a heartbeat of another implementation', () => {
  it('is read completely, and unknown fields are ignored', () => {
    const reading = readHeartbeat(
      'i-1',
      bytesOf({ ...VALID_HEARTBEAT, mood: { deep: [1, { a: 2 }] } }),
    );
    const { warmupRemainingMs: warmupMs, born: bornAt, ...fields } = VALID_HEARTBEAT;
    expect(reading).toEqual({ entry: { ...fields, replicaId: 'i-1', warmupMs, bornAt } });
  });

  it('is refused with the name of its first invalid field', () => {
    expect(problemOf({ ...VALID_HEARTBEAT, state: 'asleep' })).toEqual({
      reason: UnusableReason.UnknownState,
      field: 'state',
    });
    const cases = [
      { address: 'nowhere' },
      { address: undefined },
      { service: 7 },
      { born: 'today' },
      { born: 1.5 },
      { born: 2 ** 53 },
      { sequence: 2 ** 60 },
      { sequence: -1 },
      { capacity: '2' },
      { warmupRemainingMs: 1e300 },
      { service: 'x'.repeat(300) },
    ];
    for (const change of cases) {
      const field = Object.keys(change)[0];
      expect(problemOf({ ...VALID_HEARTBEAT, ...change })).toEqual({
        reason: UnusableReason.BadField,
        field,
      });
    }
  });

  it('yields a valid entry or a problem for any bytes, and never throws', () => {
    const bytes = fc.oneof(
      fc.uint8Array({ maxLength: 200 }),
      fc.json({ maxDepth: 12 }).map((text) => Buffer.from(text)),
      fc
        .tuple(fc.constantFrom(...Object.keys(VALID_HEARTBEAT)), fc.jsonValue())
        .map(([field, value]) => bytesOf({ ...VALID_HEARTBEAT, [field]: value })),
    );
    fc.assert(
      fc.property(fc.string({ maxLength: 300 }), bytes, (replicaId, body) => {
        const reading = readHeartbeat(replicaId, body);
        if ('problem' in reading) return;
        expect(Number.isSafeInteger(reading.entry.sequence)).toBe(true);
        expect(reading.entry.address).toMatch(/:\d+$/);
      }),
      { seed: FUZZ_SEED, numRuns: 2_000 },
    );
  });

  it('that is unusable is refused, and a heartbeat of another replica is still accepted', async () => {
    const group = await AutomaticGroup.start(1);
    const machine = group.machineAt(0);
    const put = (path: string, body: string) => group.call(machine, 'PUT', path, body);
    expect((await put('/v1/replicas/i-1', JSON.stringify(VALID_HEARTBEAT))).status).toBe(200);
    const bad = [
      '',
      '[]',
      '{"state":"gone"}',
      JSON.stringify({ ...VALID_HEARTBEAT, state: 7 }),
      '{"a":',
    ];
    for (const body of bad) expect((await put('/v1/replicas/i-1', body)).status).toBe(400);
    expect((await put('/v1/replicas/%E0%A4%A', JSON.stringify(VALID_HEARTBEAT))).status).toBe(400);
    expect((await put('/v1/replicas/', JSON.stringify(VALID_HEARTBEAT))).status).toBe(400);
    expect((await put('/v1/replicas/i-2', JSON.stringify(VALID_HEARTBEAT))).status).toBe(200);
    expect((await group.call(machine, 'DELETE', '/v1/replicas/%E0%A4%A')).status).toBe(400);
  });
});

describe('an unbounded number of replica IDs', () => {
  it('fills a bounded number of entries and leaves known replicas unaffected', () => {
    const { clock } = new Simulation(1).createMachine('controller', 'a').environment;
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats, 3);
    const entry = {
      replicaId: 'i-0',
      service: 'ledger',
      address: '10.0.0.1:80',
      zone: 'a',
      capacity: 1,
      state: RegisteredState.Ready,
      sequence: 1,
      warmupMs: 0,
    };
    for (let index = 0; index < 10; index += 1) {
      directory.reportDirectly({ ...entry, replicaId: `i-${index}` });
    }
    expect([...directory.all()].map(({ replicaId }) => replicaId)).toEqual(['i-0', 'i-1', 'i-2']);
    const draining = { ...entry, sequence: 2, state: RegisteredState.Draining };
    expect(directory.reportDirectly(draining)).toEqual({ isCurrent: true, isNews: true });
    expect(directory.reportDirectly({ ...entry, replicaId: 'i-9' })).toEqual({
      isCurrent: false,
      isNews: false,
    });
  });
});
