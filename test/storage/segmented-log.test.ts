import { beforeEach, describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import { DamagedStorageError } from '../../src/storage/damaged-storage-error.js';
import {
  LogRecordKind,
  RECORD_HEADER_BYTES,
  type LogRecord,
} from '../../src/storage/log-record.js';
import type { RecoveredLog } from '../../src/storage/log-recovery.js';
import { segmentPath } from '../../src/storage/segment-name.js';
import { SegmentedLog } from '../../src/storage/segmented-log.js';

const PAYLOAD_BYTES = 20;
const RECORD_BYTES = RECORD_HEADER_BYTES + PAYLOAD_BYTES;
/** Two records a segment, besides the one that starts it. */
const SMALL_SEGMENT = RECORD_HEADER_BYTES + 2 * RECORD_BYTES;

let simulation: Simulation;
let machine: SimulatedMachine;

function record(index: number, term = 1): LogRecord {
  const payload = Buffer.alloc(PAYLOAD_BYTES, `${index}/${term} `);
  return { index, term, kind: LogRecordKind.Command, payload };
}

function open(segmentBytes?: number): Promise<{ log: SegmentedLog; recovered: RecoveredLog }> {
  return simulation.settle(SegmentedLog.open(machine.environment.disk, segmentBytes));
}

/** Writes each record with a sync of its own. */
async function write(log: SegmentedLog, records: readonly LogRecord[]): Promise<void> {
  for (const one of records) {
    await simulation.settle(log.append([one]));
    await simulation.settle(log.sync());
  }
}

/** Overwrites durable bytes of a file, as a bad sector would. */
async function damage(path: string, offset: number): Promise<void> {
  const { disk } = machine.environment;
  const bytes = Buffer.from((await simulation.settle(disk.read(path))) ?? expect.fail(path));
  bytes[offset] = (bytes[offset] ?? 0) ^ 1;
  await simulation.settle(disk.writeAndSync(path, bytes));
}

async function damageFound(): Promise<DamagedStorageError> {
  const failure = await open().then(
    () => expect.fail('opened'),
    (error: unknown) => error,
  );
  expect(failure).toBeInstanceOf(DamagedStorageError);
  return failure as DamagedStorageError;
}

beforeEach(() => {
  simulation = new Simulation(1);
  machine = simulation.createMachine('a', 'nayoro');
});

describe('the durable log', () => {
  it('comes back with every synced record, whatever part of an unsynced one a crash leaves', async () => {
    const { log } = await open();
    await write(log, [record(1), record(2)]);
    let torn = 0;
    let last = 2;
    for (let crash = 0; crash < 60; crash += 1) {
      const { log: reopened, recovered } = await open();
      if (recovered.tornBytes > 0) torn += 1;
      last = Math.max(last, recovered.position.index);
      expect(recovered.records).toEqual(Array.from({ length: last }, (_, at) => record(at + 1)));
      await simulation.settle(reopened.append([record(last + 1), record(last + 2)]));
      machine.restart({ keepDisk: true });
    }
    expect(torn).toBeGreaterThan(10);
    expect(last).toBeGreaterThan(3);
  });

  // After a failed sync the system may hold bytes that never reach the disk, later syncs or not.
  it('keeps what is synced after it was opened again following a failed sync', async () => {
    const { log } = await open();
    await write(log, [record(1)]);
    await simulation.settle(log.append([record(2)]));
    const { faults } = machine.volume;
    faults.failSyncs = true;
    await expect(simulation.settle(log.sync())).rejects.toThrow('EIO');
    faults.failSyncs = false;
    await simulation.settle(log.close());

    const { log: reopened, recovered } = await open();
    const next = record(recovered.position.index + 1);
    await write(reopened, [next]);
    machine.restart({ keepDisk: true });
    expect((await open()).recovered.records).toEqual([...recovered.records, next]);
  });

  it('lets a record of a later term take the place of those that it replaces', async () => {
    const { log } = await open(SMALL_SEGMENT);
    await write(log, [record(1), record(2), record(3), record(4), record(2, 5), record(3, 5)]);
    const { recovered } = await open(SMALL_SEGMENT);
    expect(recovered.records).toEqual([record(1), record(2, 5), record(3, 5)]);
  });

  it.each([
    { what: 'length', at: 4 },
    { what: 'checksum', at: 8 },
    { what: 'term', at: 27 },
    { what: 'payload', at: RECORD_HEADER_BYTES },
  ])('does not start on a damaged $what before a good record', async ({ at }) => {
    const { log } = await open();
    await write(log, [record(1), record(2), record(3)]);
    const second = RECORD_HEADER_BYTES + RECORD_BYTES;
    await damage(segmentPath(1), second + at);
    const error = await damageFound();
    expect(error).toMatchObject({ path: segmentPath(1), offset: second });
    expect(error.message).toContain(`log/0000000001.segment at byte ${second}`);
    expect(error.message).toContain('add a new member id');
    expect(error.message).toContain('docs/operators/controller-storage.md');
  });

  it('cuts a write of which a crash kept only the later part', async () => {
    const { log } = await open();
    await write(log, [record(1)]);
    await simulation.settle(log.append([record(2), record(3)]));
    await damage(segmentPath(1), RECORD_HEADER_BYTES + RECORD_BYTES);
    expect((await open()).recovered.records).toEqual([record(1)]);
  });

  it('does not take damage at the end of a complete segment for a torn write', async () => {
    const { log } = await open(SMALL_SEGMENT);
    await write(log, [record(1), record(2), record(3)]);
    const lastOfFirst = RECORD_HEADER_BYTES + RECORD_BYTES;
    await damage(segmentPath(1), lastOfFirst + RECORD_HEADER_BYTES);
    expect(await damageFound()).toMatchObject({ path: segmentPath(1), offset: lastOfFirst });
  });

  it('does not start without a segment that counts, or without its manifest', async () => {
    const { log } = await open(SMALL_SEGMENT);
    await write(log, [record(1), record(2), record(3), record(4), record(5)]);
    const { disk } = machine.environment;
    const manifest = await simulation.settle(disk.read('log/manifest'));
    await simulation.settle(disk.remove('log/manifest'));
    expect(await damageFound()).toMatchObject({ path: 'log/manifest' });
    await simulation.settle(disk.writeAndSync('log/manifest', manifest ?? expect.fail()));
    await simulation.settle(disk.remove(segmentPath(2)));
    expect(await damageFound()).toMatchObject({ path: segmentPath(2), offset: 0 });
  });

  it('keeps what is not compacted, and begins afresh where it is told to', async () => {
    const { log } = await open(SMALL_SEGMENT);
    await write(
      log,
      [1, 2, 3, 4, 5].map((index) => record(index)),
    );
    await simulation.settle(log.compact(3));
    const compacted = await open(SMALL_SEGMENT);
    expect(compacted.recovered).toMatchObject({ base: { index: 2, term: 1 } });
    expect(compacted.recovered.records).toEqual([record(3), record(4), record(5)]);
    await simulation.settle(compacted.log.reset({ index: 90, term: 7 }));
    await write(compacted.log, [record(91, 7)]);
    const { recovered } = await open(SMALL_SEGMENT);
    expect(recovered).toMatchObject({ base: { index: 90, term: 7 }, records: [record(91, 7)] });
  });
});
