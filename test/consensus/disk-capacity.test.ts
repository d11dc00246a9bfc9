import { describe, expect, it } from 'vitest';
import { Membership } from '../../src/consensus/membership.js';
import { MINIMUM_CAPACITY_BYTES } from '../../src/consensus/log-limits.js';
import { MemberStorage } from '../../src/consensus/member-storage.js';
import { DEFAULT_RAFT_LIMITS } from '../../src/consensus/raft-timings.js';
import type { StoredSnapshot } from '../../src/storage/snapshot-store.js';
import { LatestCommandMachine } from './support/latest-command-machine.js';
import { NamesNotSyncedDisk } from './support/names-not-synced-disk.js';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];
const LONGEST_COMMAND_BYTES = DEFAULT_RAFT_LIMITS.maximumCommandBytes;
/** Together several times what a disk holds. */
const COMMANDS = 100;
const LIMITS = { capacityBytes: MINIMUM_CAPACITY_BYTES };

function longCommand(number: number): Buffer {
  return Buffer.alloc(LONGEST_COMMAND_BYTES, `command-${number} `.padEnd(64, '.'));
}

async function startCluster(seed: number): Promise<RaftCluster> {
  const cluster = await RaftCluster.started(seed, IDS, {
    limits: LIMITS,
    createState: (onApply) => new LatestCommandMachine(onApply),
  });
  for (const id of IDS) {
    cluster.member(id).machine.volume.faults.capacityBytes = MINIMUM_CAPACITY_BYTES;
  }
  return cluster;
}

async function proposeLong(cluster: RaftCluster, count: number, first = 0): Promise<void> {
  const leader = await cluster.leader();
  for (let number = first; number < first + count; number += 1) {
    await cluster.simulation.settle(cluster.node(leader).propose(longCommand(number)));
  }
}

describe('the disk of a controller', () => {
  // Guards against a log bounded by a number of records: long route documents filled every disk.
  it('holds the log of any number of the longest commands', async () => {
    const cluster = await startCluster(1);
    await proposeLong(cluster, COMMANDS);
    await cluster.converge();
    expect(cluster.running()).toEqual(IDS);
    expect(cluster.commandsOf('a')).toEqual([longCommand(COMMANDS - 1).toString('latin1')]);
    expect(cluster.violations).toEqual([]);
  });

  // Guards against a member that is sent snapshots again and again, because the log is kept too short.
  it('holds enough of the log for a member to catch up while long commands go on', async () => {
    const cluster = await startCluster(2);
    const leader = await cluster.leader();
    const lagging = IDS.find((id) => id !== leader) ?? '';
    cluster.crash(lagging);
    await proposeLong(cluster, COMMANDS / 2);
    await cluster.start(lagging);
    await proposeLong(cluster, COMMANDS / 2, COMMANDS / 2);
    const { appliedIndex } = cluster.node(lagging).status();
    const behind = cluster.node(leader).status().appliedIndex - appliedIndex;
    expect(behind).toBeLessThanOrEqual(DEFAULT_RAFT_LIMITS.promotionLag);
    expect(cluster.running()).toEqual(IDS);
  });

  // Guards against a leader whose own disk is slow filling it with what the others commit.
  it('is not filled by what the others commit while it is slow', async () => {
    const cluster = await startCluster(3);
    const leader = await cluster.leader();
    const { faults } = cluster.member(leader).machine.volume;
    faults.slowness = 100;
    let settled = 0;
    const settle = (): void => {
      settled += 1;
    };
    for (let number = 0; number < COMMANDS; number += 1) {
      cluster.node(leader).propose(longCommand(number)).then(settle, settle);
      await cluster.runFor(100);
    }
    faults.slowness = 1;
    await cluster.runFor(20_000);
    expect(settled).toBe(COMMANDS);
    expect(cluster.running()).toEqual(IDS);
    await proposeLong(cluster, 1);
    expect(cluster.violations).toEqual([]);
  });
});

describe('a member whose disk is full', () => {
  const IDENTITY = { clusterId: 'dohoku', memberId: 'controller-1', newIncarnation: 'first' };
  const RECORDS = 40;

  async function fillLog({ simulation }: RaftCluster, storage: MemberStorage): Promise<void> {
    for (let number = 0; number < RECORDS; number += 1) {
      storage.log.append(1, 0, Buffer.alloc(1_000_000, number));
      await simulation.settle(storage.log.persist());
    }
  }

  function snapshotOfAll(): StoredSnapshot {
    const membership = Membership.EMPTY.encode();
    return { index: RECORDS, term: 1, membership, data: Buffer.of(1) };
  }

  /** Fills a disk with a log that a snapshot covers, as a release without a bound in bytes left it. */
  async function fillDisk(cluster: RaftCluster): Promise<void> {
    const { machine } = cluster.member('a');
    const { disk } = machine.environment;
    const unbounded = { ...DEFAULT_RAFT_LIMITS, retainedRecords: Infinity };
    const storage = await cluster.simulation.settle(MemberStorage.open(disk, IDENTITY, unbounded));
    await fillLog(cluster, storage);
    await cluster.simulation.settle(storage.saveSnapshot(snapshotOfAll()));
    machine.volume.faults.capacityBytes = machine.volume.usedBytes;
  }

  function open(cluster: RaftCluster): Promise<MemberStorage> {
    const { environment } = cluster.member('a').machine;
    const limits = { ...DEFAULT_RAFT_LIMITS, ...LIMITS };
    return cluster.simulation.settle(MemberStorage.open(environment.disk, IDENTITY, limits));
  }

  // Guards against a full disk that no restart frees: the start wrote before it dropped anything.
  it('frees what a snapshot covers before it writes', async () => {
    const cluster = new RaftCluster(4, ['a']);
    await fillDisk(cluster);
    cluster.member('a').machine.restart({ keepDisk: true });
    const storage = await open(cluster);
    storage.log.append(1, 0, Buffer.alloc(1_000_000));
    await cluster.simulation.settle(storage.log.persist());
    await cluster.simulation.settle(storage.saveVote(2, undefined));
    expect(storage.log.lastIndex).toBe(RECORDS + 1);
  });

  // Guards against a folder that counts as damaged because a loss of power came while it was emptied.
  it('opens again after a loss of power at any moment of that', async () => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const cluster = new RaftCluster(seed, ['a']);
      await fillDisk(cluster);
      const { machine } = cluster.member('a');
      machine.restart({ keepDisk: true });
      void MemberStorage.open(machine.environment.disk, IDENTITY, {
        ...DEFAULT_RAFT_LIMITS,
        ...LIMITS,
      }).catch(() => undefined);
      await cluster.runFor(seed / 4);
      machine.restart({ keepDisk: true });
      const storage = await open(cluster);
      expect(storage.log.lastIndex).toBe(RECORDS);
      expect(storage.snapshot?.index).toBe(RECORDS);
    }
  });

  // Guards against a log that is dropped for a snapshot whose name is not durable yet.
  it('opens again after a loss of power behind a start that found a snapshot just renamed', async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const cluster = new RaftCluster(seed, ['a']);
      const { machine } = cluster.member('a');
      const { disk } = machine.environment;
      const unbounded = { ...DEFAULT_RAFT_LIMITS, retainedRecords: Infinity };
      const stopping = new NamesNotSyncedDisk(disk);
      const opening = MemberStorage.open(stopping, IDENTITY, unbounded);
      const storage = await cluster.simulation.settle(opening);
      await fillLog(cluster, storage);
      stopping.stopsIn = 'snapshots';
      void storage.saveSnapshot(snapshotOfAll());
      await cluster.runFor(1_000);
      await open(cluster);
      machine.restart({ keepDisk: true });
      const { log, snapshot } = await open(cluster);
      expect(log.lastIndex).toBe(RECORDS);
      expect(snapshot?.index).toBe(RECORDS);
    }
  });
});
