/** Everything a member keeps in its data folder, opened together and checked against each other. */
import type { Disk } from '../seams/disk.js';
import { DamagedStorageError } from '../storage/damaged-storage-error.js';
import { HardStateStore, type HardState } from '../storage/hard-state-store.js';
import type { RecoveredLog } from '../storage/log-recovery.js';
import { SegmentedLog } from '../storage/segmented-log.js';
import { SnapshotStore, type StoredSnapshot } from '../storage/snapshot-store.js';
import { ForeignDataFolderError } from './consensus-errors.js';
import { logLimits, type LogLimits } from './log-limits.js';
import { Membership } from './membership.js';
import { Mutex } from './mutex.js';
import { RaftLog } from './raft-log.js';
import type { RaftLimits } from './raft-timings.js';

const EMPTY_BYTES = new Uint8Array(0);

/** Who a new data folder belongs to. */
export interface MemberIdentity {
  readonly clusterId: string;
  readonly memberId: string;
  /** Used when the folder is empty. */
  readonly newIncarnation: string;
}

/** Bounds of a data folder. */
export type StorageLimits = Pick<RaftLimits, 'capacityBytes' | 'retainedRecords' | 'segmentBytes'>;

/** The data folder of one member. */
export class MemberStorage {
  private readonly snapshotLock = new Mutex();

  private constructor(
    private readonly hardStates: HardStateStore,
    private readonly snapshots: SnapshotStore,
    private currentHardState: HardState,
    private currentSnapshot: StoredSnapshot | undefined,
    readonly log: RaftLog,
    /** Bytes of an interrupted write that were cut off at the start. */
    readonly tornBytes: number,
    private readonly limits: StorageLimits,
  ) {}

  /**
   * Opens a data folder, or makes one.
   *
   * @throws DamagedStorageError when the folder is damaged.
   * @throws ForeignDataFolderError when it is another member's.
   */
  static async open(
    disk: Disk,
    identity: MemberIdentity,
    limits: StorageLimits,
  ): Promise<MemberStorage> {
    const hardStates = new HardStateStore(disk);
    const snapshots = await SnapshotStore.open(disk);
    const snapshot = await snapshots.load();
    const stored = await hardStates.load();
    const { capacityBytes, retainedRecords } = limits;
    const segmentBytes = Math.min(limits.segmentBytes, logLimits(capacityBytes, 0).segmentBytes);
    const covered = snapshot?.index ?? 0;
    const { log: store, recovered } = await SegmentedLog.open(disk, segmentBytes, covered);
    if (stored === undefined && (snapshot !== undefined || recovered.position.index > 0)) {
      throw new DamagedStorageError('hard-state', 0, 'missing beside a log or a snapshot');
    }
    try {
      const hardState = stored ?? (await MemberStorage.create(hardStates, identity));
      checkIdentity(hardState, identity);
      const log = await reconcile(store, recovered, snapshot);
      const { retainedBytes } = logLimits(capacityBytes, snapshot?.data.length ?? 0);
      await log.compactBeforeWriting(log.retainedFrom(covered, retainedRecords, retainedBytes));
      const { tornBytes } = recovered;
      return new MemberStorage(hardStates, snapshots, hardState, snapshot, log, tornBytes, limits);
    } catch (error) {
      await store.close().catch(() => undefined);
      throw error;
    }
  }

  private static async create(
    hardStates: HardStateStore,
    identity: MemberIdentity,
  ): Promise<HardState> {
    const { clusterId, memberId, newIncarnation: incarnation } = identity;
    const hardState = { clusterId, memberId, incarnation, term: 0 };
    await hardStates.save(hardState);
    return hardState;
  }

  get hardState(): HardState {
    return this.currentHardState;
  }

  /** The newest snapshot; undefined until the member has any history. */
  get snapshot(): StoredSnapshot | undefined {
    return this.currentSnapshot;
  }

  /** What the log may take beside the snapshot held. */
  get logLimits(): LogLimits {
    return logLimits(this.limits.capacityBytes, this.currentSnapshot?.data.length ?? 0);
  }

  /** Durable once the promise resolves; only then is it in force. */
  async saveVote(term: number, votedFor: string | undefined): Promise<void> {
    const hardState = { ...this.currentHardState, term, votedFor };
    await this.hardStates.save(hardState);
    this.currentHardState = hardState;
  }

  /** Begins an empty history with these members. */
  async bootstrap(membership: Membership): Promise<void> {
    await this.saveSnapshot({
      index: 0,
      term: 0,
      membership: membership.encode(),
      data: EMPTY_BYTES,
    });
    this.log.memberships.rebase(0, membership);
  }

  /** Keeps a snapshot unless a newer one is held. */
  async saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
    await this.snapshotLock.runExclusive(async () => {
      const held = this.currentSnapshot;
      if (held !== undefined && held.index >= snapshot.index) return;
      await this.snapshots.save(snapshot);
      this.currentSnapshot = snapshot;
    });
  }

  async close(): Promise<void> {
    await this.log.close();
  }
}

function checkIdentity(hardState: HardState, identity: MemberIdentity): void {
  if (hardState.clusterId === identity.clusterId && hardState.memberId === identity.memberId)
    return;
  throw new ForeignDataFolderError(hardState.memberId, hardState.clusterId);
}

/** Joins what the log and the snapshot hold. */
async function reconcile(
  store: SegmentedLog,
  recovered: RecoveredLog,
  snapshot: StoredSnapshot | undefined,
): Promise<RaftLog> {
  const position = { index: snapshot?.index ?? 0, term: snapshot?.term ?? 0 };
  const membership =
    snapshot === undefined ? Membership.EMPTY : Membership.decode(snapshot.membership);
  const { base } = recovered;
  if (base.index > position.index) {
    throw new DamagedStorageError(
      'snapshots',
      0,
      `no snapshot reaches the log, which begins after ${base.index}`,
    );
  }
  const records = [...recovered.records];
  const atSnapshot = records[position.index - base.index - 1];
  const agrees = position.index === base.index || atSnapshot?.term === position.term;
  const log = new RaftLog(store, base, records, position.index, membership);
  if (agrees) return log;
  // A snapshot was installed and the stop came before the log was begun afresh.
  await log.reset(position);
  log.memberships.rebase(position.index, membership);
  return log;
}
