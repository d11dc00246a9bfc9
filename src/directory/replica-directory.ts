/**
 * Every replica that has registered, as one process knows it. Reports are joined
 * so that processes which have told each other what they hold hold the same.
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

/** A replica of which nothing was heard for this long is forgotten. Milliseconds. */
export const FORGET_AFTER_MS = 120_000;

/**
 * A replica that was read back from a disk is forgotten unless it is heard of
 * within this time, which holds two of its heartbeats. Milliseconds.
 */
export const RESTORED_RETENTION_MS = 3_000;

/**
 * A life that by its own clock began before the one that is known counts as the later one once
 * nothing was heard of that for this long: three heartbeats and more. Until then it may as well
 * be a late word of an earlier life. Milliseconds.
 */
export const INCARNATION_SILENCE_MS = 5_000;

/** Most replicas that are known: several times as many as are expected; so many take 20 MB of heap. */
const MAXIMUM_ENTRIES = 50_000;

function isRestored({ restored }: ReplicaEntry): boolean {
  return restored === true;
}

/** Whether the process hears of every heartbeat, or only of changes. */
export enum DirectoryKind {
  ReceivesHeartbeats = 'hears_heartbeats',
  ReceivesChanges = 'hears_changes',
}

/**
 * How long it is kept without being heard of. One that leaves is remembered for a
 * while, so that a late heartbeat does not bring it back. Who hears only of changes
 * cannot tell a silent replica from one of which nothing changed, and keeps both.
 */
function retentionMs(kind: DirectoryKind, entry: ReplicaEntry | undefined): number {
  if (entry === undefined || entry.state !== RegisteredState.Ready) return FORGET_AFTER_MS;
  if (isRestored(entry)) return RESTORED_RETENTION_MS;
  return kind === DirectoryKind.ReceivesChanges ? Infinity : FORGET_AFTER_MS;
}

/**
 * Fields that change with each call are of no interest to readers by themselves. The time that
 * a replica stays cold falls with each call; when it rises, the replica has turned cold again.
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

/** What became of a report that a replica made here itself. */
export interface DirectReportResult {
  /** Whether it is of the life that is known now, not of an earlier one. */
  readonly isCurrent: boolean;
  /** Whether it was worth telling others. */
  readonly isNews: boolean;
}

/** See the module comment. */
export class ReplicaDirectory {
  /** Emits each entry that became known or changed. */
  readonly changes: Stream<ReplicaEntry>;
  /** Emits the id of each replica that was forgotten. */
  readonly forgotten: Stream<string>;
  private readonly entries = new Map<string, ReplicaEntry>();
  private readonly heardAt = new Map<string, number>();
  private readonly table: VersionedTable<ReplicaEntry>;
  private readonly emitChange: (entry: ReplicaEntry) => void;
  private readonly emitForgotten: (replicaId: string) => void;

  constructor(
    private readonly clock: Clock,
    private readonly kind: DirectoryKind,
    /** Further replicas are not taken up until others are forgotten. */
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

  changedAfter(position: number): ReplicaEntry[] {
    return this.table.changedAfter(position);
  }

  /** When something was last heard of a replica; -Infinity when it never was. */
  lastHeardAt(replicaId: string): number {
    return this.heardAt.get(replicaId) ?? -Infinity;
  }

  /**
   * Takes in what a replica says here of itself. Unlike {@link ReplicaDirectory.report}, which
   * joins what others heard, this decides whether a life that began
   * before the known one by its own clock is the later one all the same.
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

  /** Takes a report in; true when it was worth telling others. */
  report(report: ReplicaEntry): boolean {
    const known = this.entries.get(report.replicaId);
    if (known === undefined && this.entries.size >= this.maximumEntries) return false;
    const merged = known === undefined ? report : mergeReports(known, report);
    // Told again by another controller, a restored replica is not heard of.
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

  /** The replica says that it has left; known even when it never registered here. */
  leave(replicaId: string): void {
    const known = this.entries.get(replicaId);
    const sequence = known === undefined ? 0 : known.sequence + 1;
    const emptyEntry = { service: '', address: '', zone: '', capacity: 0, warmupMs: 0 };
    const state = RegisteredState.Gone;
    this.report({ ...emptyEntry, ...known, replicaId, sequence, state, restored: false });
  }

  /** Some process heard the replica's heartbeat. */
  recordHeartbeat(replicaId: string): void {
    const known = this.entries.get(replicaId);
    if (known === undefined) return;
    if (isRestored(known)) this.report({ ...known, restored: false });
    else this.heardAt.set(replicaId, this.clock.now());
  }

  /**
   * Drops what was not heard of for {@link FORGET_AFTER_MS}, or
   * {@link RESTORED_RETENTION_MS}, as far as silence means anything here.
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
