/**
 * The newest sign of each replica, as one controller knows it. What a back end
 * says of itself (draining, a new incarnation) and what the platform says holds
 * everywhere. That a router finds a replica gone holds for its zone alone,
 * since the cause may be the zone's own cut.
 */
import { supersedes, type ReplicaReport } from '../model/replica-report.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import { toReplicaReportMessage } from './replica-report-message.js';
import { STREAM_CODEC } from './stream-messages.js';
import { VersionedTable } from './versioned-table.js';

/** `observedBy` of signs from the platform's list. */
export const PLATFORM_OBSERVER = 'platform';

/** Scope of signs that hold in every zone. */
export const ALL_ZONES = '';

/** Most replicas and zones whose signs are kept. */
const MAXIMUM_ENTRIES = 100_000;

/** A sign and the zone it holds for. */
export interface ScopedReplicaReport {
  /** A zone, or {@link ALL_ZONES}. */
  readonly scope: string;
  readonly report: ReplicaReport;
}

interface TableEntry extends ScopedReplicaReport {
  /** The sign's message, encoded once for all subscribers. */
  readonly bytes: Uint8Array;
}

/** Where a sign observed in `zone` holds. */
export function scopeOf(report: ReplicaReport, zone: string): string {
  const inferred = report.state === 'gone' && report.observedBy !== PLATFORM_OBSERVER;
  return inferred ? zone : ALL_ZONES;
}

/** Signs by scope and replica. */
export class ReplicaReportTable {
  private readonly table = new VersionedTable<TableEntry>(MAXIMUM_ENTRIES);

  constructor(private readonly faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS) {}

  get position(): number {
    return this.table.position;
  }

  /** Returns whether the sign is news. An older one never replaces a newer one. */
  record({ scope, report }: ScopedReplicaReport): boolean {
    if (this.isKnown(scope, report) || this.isKnown(ALL_ZONES, report)) return false;
    const bytes = STREAM_CODEC.encode(toReplicaReportMessage(report));
    this.table.put(`${scope}/${report.replicaId}`, { scope, report, bytes });
    return true;
  }

  /** Signs changed after `position`, for another controller. */
  changedAfter(position: number): readonly ScopedReplicaReport[] {
    return this.table.changedAfter(position);
  }

  /** Signs changed after `position` that hold in `zone`, as one frame. */
  frameAfter(position: number, zone: string): Uint8Array | undefined {
    const changed = this.table
      .changedAfter(position)
      .filter(({ scope }) => scope === ALL_ZONES || scope === zone);
    if (changed.length === 0) return undefined;
    return Buffer.concat(changed.map(({ bytes }) => bytes));
  }

  private isKnown(scope: string, report: ReplicaReport): boolean {
    if (this.faults.acceptOlderSigns === true) return false;
    const known = this.table.get(`${scope}/${report.replicaId}`)?.report;
    return known !== undefined && !supersedes(report, known);
  }
}
