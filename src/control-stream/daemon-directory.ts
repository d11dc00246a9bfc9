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
export interface KnownDaemon {
  readonly record: DaemonRecord;
  /** Since its last report reached this controller. Milliseconds. */
  readonly silentMs: number;
}

interface Sighting {
  record: DaemonRecord;
  heardAt: number;
  passedOnAt: number;
}

function saysSomethingNew(record: DaemonRecord, known: DaemonRecord): boolean {
  return (
    record.revision !== known.revision ||
    record.incarnation !== known.incarnation ||
    record.controller !== known.controller ||
    record.left !== known.left
  );
}

function describeDaemon({ record, silentMs }: KnownDaemon): DaemonRevision {
  const { name, zone, version, revision } = record;
  return { name, zone, version, revision, silentMs };
}

/** One controller's view. */
export class DaemonDirectory implements ForceTracker {
  private readonly sightings = new Map<string, Sighting>();
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
  changedAfter(position: number): readonly KnownDaemon[] {
    const now = this.clock.now();
    return this.outgoing.changedAfter(position).map((record) => {
      const heardAt = this.sightings.get(record.name)?.heardAt ?? now;
      return { record, silentMs: now - heardAt };
    });
  }

  /** Largest incarnation shown under `name`; 0 when none was. */
  incarnationOf(name: string): number {
    return this.sightings.get(name)?.record.incarnation ?? 0;
  }

  /** Takes in a report given `silentMs` ago; returns whether it has to be passed on now. */
  record(record: DaemonRecord, silentMs = 0): boolean {
    const now = this.clock.now();
    const known = this.sightings.get(record.name);
    if (known !== undefined && !isNewer(record, known.record)) return false;
    const isNews =
      known === undefined ||
      saysSomethingNew(record, known.record) ||
      now - known.passedOnAt >= RENEWAL_INTERVAL_MS;
    const passedOnAt = isNews ? now : known.passedOnAt;
    this.sightings.set(record.name, { record, heardAt: now - silentMs, passedOnAt });
    if (isNews) this.outgoing.put(record.name, record);
    return isNews;
  }

  /** Daemons that have not said that they stop, by name. */
  daemons(): KnownDaemon[] {
    const now = this.clock.now();
    this.forgetOld(now);
    return [...this.sightings.values()]
      .filter(({ record }) => !record.left)
      .map(({ record, heardAt }) => ({ record, silentMs: now - heardAt }))
      .sort((left, right) => (left.record.name < right.record.name ? -1 : 1));
  }

  inForce(_revision: number): ForceReport {
    return { daemons: this.daemons().map(describeDaemon) };
  }

  private forgetOld(now: number): void {
    const forgetAfter =
      this.faults.forgetSilentDaemons === true ? DAEMON_LEASE_MS : FORGET_AFTER_MS;
    for (const [name, { heardAt }] of this.sightings) {
      if (now - heardAt <= forgetAfter) continue;
      this.sightings.delete(name);
      this.outgoing.remove(name);
    }
  }
}
