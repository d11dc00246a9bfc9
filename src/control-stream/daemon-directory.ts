/**
 * The daemons of the cluster, each with a lease that every report renews, both
 * at the controller that receives it and at those it is forwarded to. A daemon
 * whose lease has expired counts as late, not as gone: it may still serve with
 * the configuration that it holds.
 */
import type { DaemonRevision, ForceReport, ForceTracker } from '../administration/force-tracker.js';
import type { Clock } from '../seams/clock.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import { isNewer, type DaemonRecord } from './daemon-record.js';
import { VersionedTable } from './versioned-table.js';

/** Maximum number of daemons whose records are kept for other controllers. */
const MAXIMUM_DAEMONS = 20_000;

/** A changed record is forwarded at once, an unchanged one at this interval. Milliseconds. */
const RENEWAL_INTERVAL_MS = 5_000;

/** A daemon without a report for this long is shown as silent. Milliseconds. */
export const DAEMON_LEASE_MS = 15_000;

/**
 * A daemon without a report for this long is removed. Longer than any expected
 * partition between regions, during which the daemon may go on serving with
 * the configuration that it holds. Milliseconds.
 */
export const FORGET_AFTER_MS = 2 * 3_600_000;

/** A daemon's latest record and its age. */
export interface DaemonStatus {
  readonly record: DaemonRecord;
  /** Time since the daemon's latest report, wherever it was received. Milliseconds. */
  readonly silentMs: number;
}

interface DaemonEntry {
  record: DaemonRecord;
  reportedAt: number;
  forwardedAt: number;
}

function hasChanged(record: DaemonRecord, known: DaemonRecord): boolean {
  return (
    record.revision !== known.revision ||
    record.incarnation !== known.incarnation ||
    record.controller !== known.controller ||
    record.left !== known.left
  );
}

function toDaemonRevision({ record, silentMs }: DaemonStatus): DaemonRevision {
  const { name, zone, version, revision } = record;
  return { name, zone, version, revision, silentMs };
}

/** One controller's records of all daemons, whether reported here or at another controller. */
export class DaemonDirectory implements ForceTracker {
  private readonly entries = new Map<string, DaemonEntry>();
  private readonly outgoing = new VersionedTable<DaemonRecord>(MAXIMUM_DAEMONS);

  constructor(
    private readonly clock: Clock,
    private readonly faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS,
  ) {}

  /** Position of the newest record to forward. */
  get position(): number {
    return this.outgoing.position;
  }

  /** Records to forward that changed after `position`, with their present age. */
  changedAfter(position: number): readonly DaemonStatus[] {
    const now = this.clock.now();
    return this.outgoing.changedAfter(position).map((record) => {
      const reportedAt = this.entries.get(record.name)?.reportedAt ?? now;
      return { record, silentMs: now - reportedAt };
    });
  }

  /** Largest incarnation reported under `name`; 0 if there is none. */
  incarnationOf(name: string): number {
    return this.entries.get(name)?.record.incarnation ?? 0;
  }

  /** Records a report made `silentMs` ago; returns whether it must be forwarded now. */
  record(record: DaemonRecord, silentMs = 0): boolean {
    const now = this.clock.now();
    const known = this.entries.get(record.name);
    if (known !== undefined && !isNewer(record, known.record)) return false;
    const mustForward =
      known === undefined ||
      hasChanged(record, known.record) ||
      now - known.forwardedAt >= RENEWAL_INTERVAL_MS;
    const forwardedAt = mustForward ? now : known.forwardedAt;
    this.entries.set(record.name, { record, reportedAt: now - silentMs, forwardedAt });
    if (mustForward) this.outgoing.put(record.name, record);
    return mustForward;
  }

  /** All daemons except those that announced their stop, ordered by name. */
  daemons(): DaemonStatus[] {
    const now = this.clock.now();
    this.removeExpired(now);
    return [...this.entries.values()]
      .filter(({ record }) => !record.left)
      .map(({ record, reportedAt }) => ({ record, silentMs: now - reportedAt }))
      .sort((left, right) => (left.record.name < right.record.name ? -1 : 1));
  }

  inForce(_revision: number): ForceReport {
    return { daemons: this.daemons().map(toDaemonRevision) };
  }

  private removeExpired(now: number): void {
    const forgetAfter =
      this.faults.forgetSilentDaemons === true ? DAEMON_LEASE_MS : FORGET_AFTER_MS;
    for (const [name, { reportedAt }] of this.entries) {
      if (now - reportedAt <= forgetAfter) continue;
      this.entries.delete(name);
      this.outgoing.remove(name);
    }
  }
}
