/**
 * The newest report on each replica known to one controller. What a back end
 * states about itself (draining, a new incarnation) and what the platform
 * states is valid in all zones. A router's finding that a replica is gone is
 * valid in the router's zone only, since the cause may be a partition of that
 * zone.
 */
import { supersedes, type LivenessReport } from '../model/liveness-report.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import { toLivenessReportMessage } from './liveness-report-message.js';
import { STREAM_CODEC } from './stream-messages.js';
import { VersionedTable } from './versioned-table.js';

/** `observedBy` of reports derived from the platform's list. */
export const PLATFORM_OBSERVER = 'platform';

/** Scope of reports that are valid in every zone. */
export const ALL_ZONES = '';

/** Maximum number of pairs of scope and replica whose reports are kept. */
const MAXIMUM_ENTRIES = 100_000;

/** A liveness report and the zone in which it is valid. */
export interface ScopedLivenessReport {
  /** Name of a zone, or {@link ALL_ZONES}. */
  readonly scope: string;
  readonly report: LivenessReport;
}

interface TableEntry extends ScopedLivenessReport {
  /** The report's message, encoded once for all subscribers. */
  readonly bytes: Uint8Array;
}

/** Scope in which a report by an observer in `zone` is valid. */
export function scopeOf(report: LivenessReport, zone: string): string {
  const inferred = report.state === 'gone' && report.observedBy !== PLATFORM_OBSERVER;
  return inferred ? zone : ALL_ZONES;
}

/** The newest report by scope and replica; its readers keep positions. */
export class LivenessReportTable {
  private readonly table = new VersionedTable<TableEntry>(MAXIMUM_ENTRIES);

  constructor(private readonly faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS) {}

  get position(): number {
    return this.table.position;
  }

  /** Records a report unless a known one is as new or newer; returns whether it was recorded. */
  record({ scope, report }: ScopedLivenessReport): boolean {
    if (this.isKnown(scope, report) || this.isKnown(ALL_ZONES, report)) return false;
    const bytes = STREAM_CODEC.encode(toLivenessReportMessage(report));
    this.table.put(`${scope}/${report.replicaId}`, { scope, report, bytes });
    return true;
  }

  /** Reports of all scopes that changed after `position`, for another controller. */
  changedAfter(position: number): readonly ScopedLivenessReport[] {
    return this.table.changedAfter(position);
  }

  /**
   * Reports valid in `zone` that changed after `position`, as one frame;
   * undefined if there are none.
   */
  frameAfter(position: number, zone: string): Uint8Array | undefined {
    const changed = this.table
      .changedAfter(position)
      .filter(({ scope }) => scope === ALL_ZONES || scope === zone);
    if (changed.length === 0) return undefined;
    return Buffer.concat(changed.map(({ bytes }) => bytes));
  }

  private isKnown(scope: string, report: LivenessReport): boolean {
    if (this.faults.acceptOlderSigns === true) return false;
    const known = this.table.get(`${scope}/${report.replicaId}`)?.report;
    return known !== undefined && !supersedes(report, known);
  }
}
