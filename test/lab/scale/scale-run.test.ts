import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { beforeAll, describe, expect, it } from 'vitest';
import { LONE_DAEMONS } from '../../../lab/scale/control-bench.js';
import type { ScaleRecord } from '../../../lab/scale/scale-run.js';
import { beyondRest, type RoleUse } from '../../../lab/scale/role-totals.js';

/** Real processes, so the run is of the build, as `npm test` makes it. */
const COMMAND = ['bin/driftway-lab.js', 'scale', '--size', 'tiny', '--json'];
/** Bounds a hanging run only. Milliseconds. */
const LONGEST_RUN = 300_000;
const PARTS = ['growth', 'daemons', 'registry'];

describe('driftway-lab scale', () => {
  let record: ScaleRecord;

  beforeAll(async () => {
    const parts = PARTS.flatMap((part) => ['--part', part]);
    const { stdout } = await promisify(execFile)(process.execPath, [...COMMAND, ...parts]);
    record = JSON.parse(stdout) as ScaleRecord;
  }, LONGEST_RUN);

  it('runs the chosen parts and no others', () => {
    expect(Object.keys(record)).toEqual(expect.arrayContaining(PARTS));
    expect(record).not.toHaveProperty('expected');
  });

  it('sees every change come in force at every daemon', () => {
    const { changes } = record.options.pace;
    const readings = record.daemons?.readings ?? expect.fail('no readings');
    for (const { size, sharedInForce, loneInForce } of readings) {
      const observations = sharedInForce.observations + loneInForce.observations;
      expect(observations).toBe(size.daemons * changes);
    }
  });

  it('counts at least the delta of each change at each daemon', () => {
    const { changes } = record.options.pace;
    const deltaBytes = record.growth?.overReplicas[0]?.deltaBytes ?? expect.fail('no growth');
    for (const { size, sharedDaemons, logBytesEachChange, syncsEachChange } of record.daemons
      ?.readings ?? []) {
      const shared = size.daemons - LONE_DAEMONS;
      const least = shared * changes * deltaBytes;
      expect(sharedDaemons.changing.bytes).toBeGreaterThanOrEqual(least);
      expect(logBytesEachChange).toBeGreaterThan(0);
      expect(syncsEachChange).toBeGreaterThanOrEqual(1);
    }
  });

  it('holds replicas that answer and such that refuse', () => {
    const readings = record.registry?.readings ?? expect.fail('no readings');
    expect(readings.filter(({ reachable }) => reachable).map(({ replicas }) => replicas)).toEqual([
      2, 4, 6,
    ]);
    for (const { reachable, replicas, reports } of readings) {
      if (reachable) expect(reports).toBeGreaterThanOrEqual(replicas);
      else expect(reports).toBe(0);
    }
  });

  it('counts the growth of the state without sampling', () => {
    const { overReplicas, overChanges, slopes } = record.growth ?? expect.fail('no growth');
    expect(overReplicas.map(({ deltaBytes }) => deltaBytes)).toEqual(
      overReplicas.map(() => overReplicas[0]?.deltaBytes),
    );
    const snapshotBytes = overChanges.map((growth) => growth.snapshotBytes);
    expect(snapshotBytes).toEqual([...snapshotBytes].sort((left, right) => left - right));
    expect(slopes.every(({ fit }) => fit.points.length === 3)).toBe(true);
  });
});

describe('beyondRest', () => {
  it('takes off what the same time would have used without the work', () => {
    const use = (milliseconds: number, amount: number): RoleUse => ({
      milliseconds,
      cpuMicroseconds: amount,
      bytes: amount,
      frames: amount,
      largestCpuMicroseconds: amount,
    });
    expect(beyondRest(use(2_000, 500), use(1_000, 100))).toEqual(use(2_000, 300));
  });
});
