/**
 * The daemons of the cluster by lease: each report renews it, at the controller
 * that hears it and at those it is passed on to. A daemon whose lease ran out
 * counts as late, not as gone: it may still serve with what it holds.
 */
import type { DaemonRevision, ForceReport, ForceTracker } from '../administration/force-tracker.js';
import type { Clock } from '../seams/clock.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import { isNewer, type DaemonRecord } from './daemon-record.js';
import { VersionedTable } from './versioned-table.js';

/** Most daemons remembered. */
const MAXIMUM_DAEMONS = 20_000;

/** A report is passed on at once when it says something new, otherwise this often. Milliseconds. */
const RENEWAL_INTERVAL_MS = 5_000;

/** A daemon not heard of for this long is shown as silent. Milliseconds. */
export const DAEMON_LEASE_MS = 15_000;

/**
 * A daemon not heard of for this long is forgotten: longer than regions are
 * expected to be out of reach of each other, since it may serve meanwhile with
 * what it holds. Milliseconds.
 */
export const FORGET_AFTER_MS = 2 * 3_600_000;

/** A daemon as shown to operators. */
export interface DaemonStatus {
  readonly record: DaemonRecord;
  /** Since its last report reached this controller. Milliseconds. */
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

/** One controller's view. */
export class DaemonDirectory implements ForceTracker {
  private readonly entries = new Map<string, DaemonEntry>();
  private readonly outgoing = new VersionedTable<DaemonRecord>(MAXIMUM_DAEMONS);

  constructor(
    private readonly clock: Clock,
    private readonly faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS,
  ) {}

  /** Position of the newest record to pass on. */
  get position(): number {
    return this.outgoing.position;
  }

  /** Records to pass on that changed after `position`, with their present age. */
  changedAfter(position: number): readonly DaemonStatus[] {
    const now = this.clock.now();
    return this.outgoing.changedAfter(position).map((record) => {
      const reportedAt = this.entries.get(record.name)?.reportedAt ?? now;
      return { record, silentMs: now - reportedAt };
    });
  }

  /** Largest incarnation shown under `name`; 0 when none was. */
  incarnationOf(name: string): number {
    return this.entries.get(name)?.record.incarnation ?? 0;
  }

  /** Takes in a report given `silentMs` ago; returns whether it has to be passed on now. */
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

  /** Daemons that have not said that they stop, by name. */
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
