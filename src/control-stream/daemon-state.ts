/**
 * A daemon's state that outlives its sessions with single controllers: the
 * configuration in force, the proof of its freshness, and replica reports.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { supersedes, type ReplicaReport } from '../model/replica-report.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { ClientMetrics } from './client-metrics.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { FreshnessProof } from './freshness-proof.js';
import { HeldConfiguration, type DeltaOutcome, type ReceivedDelta } from './held-configuration.js';
import type { AssembledSnapshot } from './snapshot-assembler.js';
import { VersionedTable } from './versioned-table.js';

/** Maximum number of replicas whose reports are kept. */
export const MAXIMUM_REPLICA_REPORTS = 100_000;

/** Shared by all sessions of one daemon; emits each revision and replica report that it accepts. */
export class DaemonState {
  readonly proof = new FreshnessProof();
  readonly revisions: Stream<ConfigurationState>;
  readonly replicaReports: Stream<ReplicaReport>;
  /**
   * The latest report on each replica that this daemon observed itself; sent
   * again in each session.
   */
  readonly ownReplicaReports = new VersionedTable<ReplicaReport>(MAXIMUM_REPLICA_REPORTS);
  readonly held: HeldConfiguration;
  private readonly receivedReplicaReports = new VersionedTable<ReplicaReport>(
    MAXIMUM_REPLICA_REPORTS,
  );
  private readonly emitRevision: (state: ConfigurationState) => void;
  private readonly emitReplicaReport: (report: ReplicaReport) => void;

  constructor(
    private readonly faults: ControlStreamFaults,
    private readonly metrics: ClientMetrics,
  ) {
    this.held = new HeldConfiguration(faults);
    [this.emitRevision, this.revisions] = createAdapter<ConfigurationState>();
    [this.emitReplicaReport, this.replicaReports] = createAdapter<ReplicaReport>();
  }

  /** Returns false if the snapshot's content does not match its hash. */
  applySnapshot({ state, stateHash }: AssembledSnapshot): boolean {
    const outcome = this.held.applySnapshot(state, stateHash);
    if (outcome === 'lower') this.metrics.lowerRevisionsIgnored.inc();
    if (outcome === 'applied' || outcome === 'divergence_replaced') this.emitCurrentRevision();
    return outcome !== 'unreadable';
  }

  applyDelta(delta: ReceivedDelta): DeltaOutcome {
    const outcome = this.held.applyDelta(delta);
    if (outcome === 'applied') this.emitCurrentRevision();
    return outcome;
  }

  /**
   * Records and emits a report by another daemon or the platform, if it is
   * newer than the known one.
   */
  applyReplicaReport(report: ReplicaReport): void {
    const known = this.receivedReplicaReports.get(report.replicaId);
    if (!this.isNewer(report, known)) return;
    this.receivedReplicaReports.put(report.replicaId, report);
    this.emitReplicaReport(report);
  }

  /**
   * Records a report by this daemon; returns whether it is newer than this
   * daemon's previous one.
   */
  recordOwnReplicaReport(report: ReplicaReport): boolean {
    const known = this.ownReplicaReports.get(report.replicaId);
    if (!this.isNewer(report, known)) return false;
    this.ownReplicaReports.put(report.replicaId, report);
    return true;
  }

  private isNewer(report: ReplicaReport, known: ReplicaReport | undefined): boolean {
    if (known === undefined || this.faults.acceptOlderSigns === true) return true;
    return supersedes(report, known);
  }

  private emitCurrentRevision(): void {
    const state = this.held.current();
    if (state === undefined) return;
    this.metrics.revision.set(state.revision);
    this.proof.recordCommitted(state.revision);
    this.emitRevision(state);
  }
}
