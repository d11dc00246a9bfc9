/**
 * All replicas of the configuration with their state. Merges reports, replies, and liveness reports
 * from other routers and the platform list, by incarnation.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { BackendReport } from '../model/backend-protocol.js';
import { supersedes, type LivenessReport } from '../model/liveness-report.js';
import type { ReplicaDefinition } from '../model/service-definition.js';
import type { Logger } from '../observability/logger.js';
import type { RouterFaults } from '../router/router-faults.js';
import type { Environment } from '../seams/environment.js';
import { ReplicaChannel } from './replica-channel.js';
import { ReplicaPoller, type ReportSink } from './replica-poller.js';
import { ReplicaRecord } from './replica-record.js';

/** Most liveness reports kept for replicas that are not in the configuration. */
const MAXIMUM_UNCONFIGURED_REPORTS = 10_000;

/** Settings and dependencies besides the environment. */
export interface RegistryOptions {
  /** Name of this daemon, which its liveness reports carry as their observer. */
  readonly observer: string;
  /** Largest reply body. Bytes. */
  readonly maximumReplyBytes: number;
  readonly logger: Logger;
  readonly faults: RouterFaults;
}

interface Entry {
  readonly record: ReplicaRecord;
  readonly poller: ReplicaPoller;
  readonly task: Promise<void>;
}

/** What a reply states about the replica that sent it. */
export interface ReplyMark {
  readonly incarnation: number;
  readonly draining: boolean;
  readonly load: number | undefined;
}

/** Runs a poller for each replica; call {@link ReplicaRegistry.stop} to end them. */
export class ReplicaRegistry implements ReportSink {
  /** Grows whenever the requests that may be sent to any replica change; plan caches compare it. */
  generation = 0;
  /** Emits liveness reports first observed by this router, to be sent to others. */
  readonly ownLivenessReports: Stream<LivenessReport>;
  private readonly emitLivenessReport: (report: LivenessReport) => void;
  private readonly entries = new Map<string, Entry>();
  /** Newest liveness report of each replica that is not, or no longer, in the configuration. */
  private readonly unconfiguredReports = new Map<string, LivenessReport>();

  constructor(
    private readonly environment: Environment,
    private readonly options: RegistryOptions,
  ) {
    [this.emitLivenessReport, this.ownLivenessReports] = createAdapter<LivenessReport>();
  }

  get(replicaId: string): ReplicaRecord | undefined {
    return this.entries.get(replicaId)?.record;
  }

  /** Makes the registry contain exactly `definitions`; replicas with an unchanged endpoint keep their state. */
  synchronize(definitions: ReadonlyMap<string, ReplicaDefinition>): void {
    for (const replicaId of [...this.entries.keys()]) {
      if (!definitions.has(replicaId)) this.remove(replicaId);
    }
    for (const definition of definitions.values()) this.addOrReplace(definition);
    this.generation += 1;
  }

  /** Resolves once every currently known replica has been polled once. */
  async firstReports(): Promise<void> {
    await Promise.all([...this.entries.values()].map(({ poller }) => poller.firstPoll));
  }

  /** Whether new requests may be sent to the replica. */
  mayReceive(record: ReplicaRecord): boolean {
    return record.isLive || this.options.faults.ignoreDrain;
  }

  /** Applies a liveness report from another daemon or the platform list; returns true if it was newer. */
  applyLivenessReport(report: LivenessReport): boolean {
    const record = this.get(report.replicaId);
    if (record === undefined) this.keepUnconfiguredReport(report);
    if (record === undefined || !record.applyLivenessReport(report)) return false;
    this.generation += 1;
    if (report.state !== 'live') {
      const { replicaId, state, incarnation, observedBy } = report;
      this.options.logger.info('replica leaving', { replicaId, state, incarnation, observedBy });
    }
    return true;
  }

  onReport(record: ReplicaRecord, report: BackendReport): void {
    this.applyOwnObservation(record, report.incarnation, report.draining);
    if (record.applyReport(report)) this.generation += 1;
  }

  onMissedReport(record: ReplicaRecord): void {
    if (!record.recordMissedReport()) return;
    this.generation += 1;
    const { replicaId } = record.replica;
    this.options.logger.warn('replica does not report', { replicaId });
  }

  /** Applies what a verified reply states about its sender. */
  onReplyMark(record: ReplicaRecord, mark: ReplyMark): void {
    this.applyOwnObservation(record, mark.incarnation, mark.draining);
    if (mark.load !== undefined) record.recordLoad(mark.load);
  }

  onAnswer(record: ReplicaRecord, snapshot: string, latency: number): void {
    if (record.recordAnswer(snapshot, latency)) this.generation += 1;
  }

  onSnapshotNotHeld(record: ReplicaRecord, snapshot: string): void {
    if (record.recordSnapshotNotHeld(snapshot)) this.generation += 1;
  }

  /** Stops all pollers and closes all connections once their requests have finished. */
  async stop(): Promise<void> {
    const entries = [...this.entries.values()];
    this.entries.clear();
    for (const { poller } of entries) poller.stop();
    await Promise.all(entries.map(({ task }) => task));
    await Promise.all(entries.map(({ record }) => record.channel.close()));
  }

  private keepUnconfiguredReport(report: LivenessReport): void {
    const known = this.unconfiguredReports.get(report.replicaId);
    if (known !== undefined && !supersedes(report, known)) return;
    this.unconfiguredReports.delete(report.replicaId);
    this.unconfiguredReports.set(report.replicaId, report);
    const [oldest] = this.unconfiguredReports.keys();
    const isFull = this.unconfiguredReports.size > MAXIMUM_UNCONFIGURED_REPORTS;
    if (isFull && oldest !== undefined) this.unconfiguredReports.delete(oldest);
  }

  private applyOwnObservation(record: ReplicaRecord, incarnation: number, draining: boolean): void {
    const { replicaId } = record.replica;
    const known = record.lastLivenessReport;
    const state = draining ? 'draining' : 'live';
    const report: LivenessReport = {
      replicaId,
      incarnation,
      state,
      observedBy: this.options.observer,
    };
    if (!this.applyLivenessReport(report)) return;
    if (draining || known !== undefined) this.emitLivenessReport(report);
  }

  private addOrReplace(definition: ReplicaDefinition): void {
    const existing = this.entries.get(definition.replicaId)?.record;
    if (existing !== undefined && sameEndpoint(existing.replica, definition)) return;
    if (existing !== undefined) this.remove(definition.replicaId);
    const { clock, network, random } = this.environment;
    const channel = new ReplicaChannel(network, definition, this.options.maximumReplyBytes);
    const lastReport =
      existing?.lastLivenessReport ?? this.unconfiguredReports.get(definition.replicaId);
    this.unconfiguredReports.delete(definition.replicaId);
    const record = new ReplicaRecord(definition, channel, clock, lastReport);
    const poller = new ReplicaPoller(record, this, clock, random);
    this.entries.set(definition.replicaId, { record, poller, task: poller.run() });
  }

  private remove(replicaId: string): void {
    const entry = this.entries.get(replicaId);
    if (entry === undefined) return;
    this.entries.delete(replicaId);
    const { lastLivenessReport } = entry.record;
    if (lastLivenessReport !== undefined) this.keepUnconfiguredReport(lastLivenessReport);
    entry.poller.stop();
    void entry.task.then(() => entry.record.channel.close()).catch(() => undefined);
  }
}

function sameEndpoint(left: ReplicaDefinition, right: ReplicaDefinition): boolean {
  return (
    left.address === right.address &&
    left.connections === right.connections &&
    left.slots === right.slots &&
    left.zone === right.zone
  );
}
