/**
 * Every replica of the configuration with what is known of it. Joins what
 * reports, replies, other routers and the platform list say, by incarnation.
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

/** Signs kept of replicas that the configuration does not name. */
const MAXIMUM_UNCONFIGURED_REPORTS = 10_000;

/** What the registry needs besides the seams. */
export interface RegistryOptions {
  /** Name of this daemon, for the signs it gives. */
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

/** What a back end's reply said about the replica itself. */
export interface ReplyMark {
  readonly incarnation: number;
  readonly draining: boolean;
  readonly load: number | undefined;
}

/** The replicas of one router. */
export class ReplicaRegistry implements ReportSink {
  /** Grows whenever what may be sent where has changed; caches of plans compare it. */
  generation = 0;
  /** Signs first seen here, to be told to others. */
  readonly ownLivenessReports: Stream<LivenessReport>;
  private readonly emitLivenessReport: (report: LivenessReport) => void;
  private readonly entries = new Map<string, Entry>();
  /** Newest sign of each replica that is not in the configuration, yet or any more. */
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

  /** Makes the registry hold exactly `definitions`; known replicas keep their history. */
  synchronize(definitions: ReadonlyMap<string, ReplicaDefinition>): void {
    for (const replicaId of [...this.entries.keys()]) {
      if (!definitions.has(replicaId)) this.remove(replicaId);
    }
    for (const definition of definitions.values()) this.addOrReplace(definition);
    this.generation += 1;
  }

  /** Resolves once every replica known now has been asked for its report once. */
  async firstReports(): Promise<void> {
    await Promise.all([...this.entries.values()].map(({ poller }) => poller.firstPoll));
  }

  /** Whether `record` may get new work. */
  mayReceive(record: ReplicaRecord): boolean {
    return record.isLive || this.options.faults.ignoreDrain;
  }

  /** Joins a sign from another daemon or the platform list. */
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

  /** Joins what a verified reply said of its sender. */
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

  /** Ends all polls and closes all connections politely. */
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
    const { lastLivenessReport: lastLivenessReport } = entry.record;
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
