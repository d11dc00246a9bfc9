/**
 * One process's view of all registered replicas. Reports are merged so that processes converge to
 * the same entries once they have exchanged theirs, whatever the order.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { VersionedTable } from '../control-stream/versioned-table.js';
import type { Clock } from '../seams/clock.js';
import {
  RegisteredState,
  compareIncarnations,
  mergeReports,
  type ReplicaEntry,
} from './replica-entry.js';

/** A replica without a report or heartbeat for this long is forgotten. Milliseconds. */
export const FORGET_AFTER_MS = 120_000;

/**
 * A replica restored from a disk is forgotten without a report or heartbeat within this time, which
 * covers two of its heartbeats. Milliseconds.
 */
export const RESTORED_RETENTION_MS = 3_000;

/**
 * An incarnation whose own clock dates it before the known one counts as the later one once the
 * known one has been silent for this long, which is more than three heartbeats. Until then the
 * report may be a late one from an earlier incarnation. Milliseconds.
 */
export const INCARNATION_SILENCE_MS = 5_000;

/** Most known replicas: several times the expected number; this many take 20 MB of heap. */
const MAXIMUM_ENTRIES = 50_000;

function isRestored({ restored }: ReplicaEntry): boolean {
  return restored === true;
}

/** Whether the process receives every heartbeat, or only changes. */
export enum DirectoryKind {
  ReceivesHeartbeats = 'hears_heartbeats',
  ReceivesChanges = 'hears_changes',
}

/**
 * Returns how long a replica is kept without a report or heartbeat. Milliseconds. A replica that
 * leaves is kept for a while as a tombstone, so that a late heartbeat does not bring it back. A
 * process that receives only changes cannot tell a silent replica from an unchanged one, and keeps
 * both.
 */
function retentionMs(kind: DirectoryKind, entry: ReplicaEntry | undefined): number {
  if (entry === undefined || entry.state !== RegisteredState.Ready) return FORGET_AFTER_MS;
  if (isRestored(entry)) return RESTORED_RETENTION_MS;
  return kind === DirectoryKind.ReceivesChanges ? Infinity : FORGET_AFTER_MS;
}

/**
 * Whether readers have to receive the entry. Fields that change with each heartbeat do not matter by
 * themselves: the remaining warm-up time falls with each heartbeat, and only a rise means that the
 * replica is cold again.
 */
function isSignificantChange(before: ReplicaEntry | undefined, after: ReplicaEntry): boolean {
  if (before === undefined) return true;
  return (
    before.state !== after.state ||
    before.address !== after.address ||
    before.service !== after.service ||
    before.capacity !== after.capacity ||
    before.bornAt !== after.bornAt ||
    (before.generation ?? 0) !== (after.generation ?? 0) ||
    after.warmupMs > before.warmupMs ||
    isRestored(before) !== isRestored(after)
  );
}

/** Result of a report received directly from a replica. */
export interface DirectReportResult {
  /** Whether the report is of the current incarnation rather than an earlier one. */
  readonly isCurrent: boolean;
  /** Whether other processes have to receive the change. */
  readonly isNews: boolean;
}

/** Bounded in size; call {@link ReplicaDirectory.forgetSilent} at an interval. */
export class ReplicaDirectory {
  /** Emits each entry that is new or has changed significantly. */
  readonly changes: Stream<ReplicaEntry>;
  /** Emits the id of each forgotten replica. */
  readonly forgotten: Stream<string>;
  private readonly entries = new Map<string, ReplicaEntry>();
  private readonly heardAt = new Map<string, number>();
  private readonly table: VersionedTable<ReplicaEntry>;
  private readonly emitChange: (entry: ReplicaEntry) => void;
  private readonly emitForgotten: (replicaId: string) => void;

  constructor(
    private readonly clock: Clock,
    private readonly kind: DirectoryKind,
    /** Above this number, new replicas are ignored until others are forgotten. */
    private readonly maximumEntries = MAXIMUM_ENTRIES,
  ) {
    this.table = new VersionedTable(maximumEntries);
    [this.emitChange, this.changes] = createAdapter<ReplicaEntry>();
    [this.emitForgotten, this.forgotten] = createAdapter<string>();
  }

  /** Position of the newest change, for {@link ReplicaDirectory.changedAfter}. */
  get position(): number {
    return this.table.position;
  }

  find(replicaId: string): ReplicaEntry | undefined {
    return this.entries.get(replicaId);
  }

  all(): IterableIterator<ReplicaEntry> {
    return this.entries.values();
  }

  /** Returns the entries with a change after `position`. */
  changedAfter(position: number): ReplicaEntry[] {
    return this.table.changedAfter(position);
  }

  /** Clock reading of the last report or heartbeat of a replica; -Infinity if there was none. */
  lastHeardAt(replicaId: string): number {
    return this.heardAt.get(replicaId) ?? -Infinity;
  }

  /**
   * Applies a report received directly from the replica. Unlike {@link ReplicaDirectory.report},
   * which merges reports from other processes, this decides whether an incarnation that began
   * before the known one by its own clock is nevertheless the later one.
   */
  reportDirectly(report: ReplicaEntry): DirectReportResult {
    const known = this.entries.get(report.replicaId);
    if (known === undefined) {
      const isNews = this.report(report);
      return { isCurrent: isNews, isNews };
    }
    const { generation = 0 } = known;
    const current = generation === 0 ? report : { ...report, generation };
    if (compareIncarnations(current, known) >= 0)
      return { isCurrent: true, isNews: this.report(current) };
    const isSilent = this.clock.now() - this.lastHeardAt(report.replicaId) > INCARNATION_SILENCE_MS;
    if (!isSilent) return { isCurrent: false, isNews: false };
    return { isCurrent: true, isNews: this.report({ ...report, generation: generation + 1 }) };
  }

  /** Merges a report; returns true if other processes have to receive the change. */
  report(report: ReplicaEntry): boolean {
    const known = this.entries.get(report.replicaId);
    if (known === undefined && this.entries.size >= this.maximumEntries) return false;
    const merged = known === undefined ? report : mergeReports(known, report);
    // A restored entry repeated by another controller, or a late report of an earlier incarnation, does
    // not prove that the replica is alive.
    const isEarlier = known !== undefined && compareIncarnations(report, known) < 0;
    const provesAlive = known === undefined || (!isRestored(report) && !isEarlier);
    if (provesAlive) this.heardAt.set(report.replicaId, this.clock.now());
    if (merged === known) return false;
    this.entries.set(report.replicaId, merged);
    if (!isSignificantChange(known, merged)) return false;
    this.table.put(report.replicaId, merged);
    this.emitChange(merged);
    return true;
  }

  /** Records that the replica has left, also if it never registered here. */
  leave(replicaId: string): void {
    const known = this.entries.get(replicaId);
    const sequence = known === undefined ? 0 : known.sequence + 1;
    const emptyEntry = { service: '', address: '', zone: '', capacity: 0, warmupMs: 0 };
    const state = RegisteredState.Gone;
    this.report({ ...emptyEntry, ...known, replicaId, sequence, state, restored: false });
  }

  /** Records a heartbeat of the replica that some process has received. */
  recordHeartbeat(replicaId: string): void {
    const known = this.entries.get(replicaId);
    if (known === undefined) return;
    if (isRestored(known)) this.report({ ...known, restored: false });
    else this.heardAt.set(replicaId, this.clock.now());
  }

  /**
   * Forgets replicas without a report or heartbeat for {@link FORGET_AFTER_MS}, or
   * {@link RESTORED_RETENTION_MS} for restored ones. A process that receives only changes keeps all
   * other ready replicas.
   */
  forgetSilent(): void {
    const now = this.clock.now();
    for (const [replicaId, heardAt] of this.heardAt) {
      if (now - heardAt <= retentionMs(this.kind, this.entries.get(replicaId))) continue;
      this.heardAt.delete(replicaId);
      this.entries.delete(replicaId);
      this.table.remove(replicaId);
      this.emitForgotten(replicaId);
    }
  }
}
