/**
 * A daemon's state that outlives its sessions with single controllers: the
 * configuration in force, the proof of its freshness, and liveness reports.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { supersedes, type LivenessReport } from '../model/liveness-report.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { ClientMetrics } from './client-metrics.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { FreshnessProof } from './freshness-proof.js';
import { HeldConfiguration, type DeltaOutcome, type ReceivedDelta } from './held-configuration.js';
import type { AssembledSnapshot } from './snapshot-assembler.js';
import { VersionedTable } from './versioned-table.js';

/** Maximum number of replicas whose reports are kept. */
export const MAXIMUM_LIVENESS_REPORTS = 100_000;

/** Shared by all sessions of one daemon; emits each revision and liveness report that it accepts. */
export class DaemonState {
  readonly proof = new FreshnessProof();
  readonly revisions: Stream<ConfigurationState>;
  readonly livenessReports: Stream<LivenessReport>;
  /**
   * The latest report on each replica that this daemon observed itself; sent
   * again in each session.
   */
  readonly ownLivenessReports = new VersionedTable<LivenessReport>(MAXIMUM_LIVENESS_REPORTS);
  readonly held: HeldConfiguration;
  private readonly receivedLivenessReports = new VersionedTable<LivenessReport>(
    MAXIMUM_LIVENESS_REPORTS,
  );
  private readonly emitRevision: (state: ConfigurationState) => void;
  private readonly emitLivenessReport: (report: LivenessReport) => void;

  constructor(
    private readonly faults: ControlStreamFaults,
    private readonly metrics: ClientMetrics,
  ) {
    this.held = new HeldConfiguration(faults);
    [this.emitRevision, this.revisions] = createAdapter<ConfigurationState>();
    [this.emitLivenessReport, this.livenessReports] = createAdapter<LivenessReport>();
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
  applyLivenessReport(report: LivenessReport): void {
    const known = this.receivedLivenessReports.get(report.replicaId);
    if (!this.isNewer(report, known)) return;
    this.receivedLivenessReports.put(report.replicaId, report);
    this.emitLivenessReport(report);
  }

  /**
   * Records a report by this daemon; returns whether it is newer than this
   * daemon's previous one.
   */
  recordOwnLivenessReport(report: LivenessReport): boolean {
    const known = this.ownLivenessReports.get(report.replicaId);
    if (!this.isNewer(report, known)) return false;
    this.ownLivenessReports.put(report.replicaId, report);
    return true;
  }

  private isNewer(report: LivenessReport, known: LivenessReport | undefined): boolean {
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
