/** What a router knows about one replica. */
import type { BackendReport } from '../model/backend-protocol.js';
import { supersedes, type LivenessReport } from '../model/liveness-report.js';
import type { ReplicaDefinition } from '../model/service-definition.js';
import type { ReplicaProcess } from '../policies/outlier-ejection.js';
import type { ReplicaView } from '../policies/replica-selector.js';
import type { Clock } from '../seams/clock.js';
import { HeldSnapshots } from './held-snapshots.js';
import type { ReplicaChannel } from './replica-channel.js';
import { SmoothedValue } from './smoothed-value.js';

/** Weight of a new sample in the average latency, 0 to 1. */
const LATENCY_WEIGHT = 0.2;
/** Weight of a new attempt in the failure rate, 0 to 1. */
const FAILURE_WEIGHT = 0.1;
/** Consecutive missed reports after which a replica is used only as a last resort. */
export const SUSPECT_AFTER_MISSED_REPORTS = 3;

/** Methods that may change which requests can be sent to the replica return whether they did. */
export class ReplicaRecord implements ReplicaView {
  private attemptsInFlight = 0;
  private readonly roomWaiters = new Set<() => void>();
  private readonly latency = new SmoothedValue(LATENCY_WEIGHT);
  private readonly failures = new SmoothedValue(FAILURE_WEIGHT);
  private readonly snapshots = new HeldSnapshots();
  private livenessReport: LivenessReport | undefined;
  private firstSeenAt: number;
  private missedReports = 0;
  private lastLoad: { readonly load: number; readonly at: number } | undefined;

  constructor(
    readonly replica: ReplicaDefinition,
    readonly channel: ReplicaChannel,
    private readonly clock: Clock,
    lastLivenessReport?: LivenessReport,
  ) {
    this.livenessReport = lastLivenessReport;
    this.firstSeenAt = clock.now();
  }

  get inFlight(): number {
    return this.attemptsInFlight;
  }

  get smoothedLatency(): number | undefined {
    return this.latency.value;
  }

  get failureRate(): number {
    return this.failures.value ?? 0;
  }

  get reportedLoad(): { readonly load: number; readonly age: number } | undefined {
    if (this.lastLoad === undefined) return undefined;
    return { load: this.lastLoad.load, age: this.clock.now() - this.lastLoad.at };
  }

  get age(): number {
    return this.clock.now() - this.firstSeenAt;
  }

  get lastLivenessReport(): LivenessReport | undefined {
    return this.livenessReport;
  }

  /** The last known process of the replica. */
  get process(): ReplicaProcess {
    return { replicaId: this.replica.replicaId, incarnation: this.livenessReport?.incarnation };
  }

  /** False once a liveness report of this incarnation says that it is draining or gone. */
  get isLive(): boolean {
    return this.livenessReport === undefined || this.livenessReport.state === 'live';
  }

  /** True while reports do not arrive; one missed report is not enough. */
  get isSuspect(): boolean {
    return this.missedReports >= SUSPECT_AFTER_MISSED_REPORTS;
  }

  get hasRoom(): boolean {
    return this.inFlight < this.channel.capacity;
  }

  holds(snapshot: string): boolean {
    return this.snapshots.has(snapshot);
  }

  heldSnapshots(): Iterable<string> {
    return this.snapshots.all();
  }

  beginAttempt(): void {
    this.attemptsInFlight += 1;
  }

  /** Frees the attempt's connection and wakes the first waiter. */
  endAttempt(): void {
    this.attemptsInFlight -= 1;
    const [first] = this.roomWaiters;
    if (first !== undefined) first();
  }

  /**
   * Calls `wake` when an attempt ends or the requests that may be sent to the replica change, until
   * {@link unregisterRoomWaiter}.
   */
  registerRoomWaiter(wake: () => void): void {
    this.roomWaiters.add(wake);
  }

  unregisterRoomWaiter(wake: () => void): void {
    this.roomWaiters.delete(wake);
  }

  /** Applies a liveness report unless a newer one is known; returns true if it was applied. */
  applyLivenessReport(report: LivenessReport): boolean {
    const known = this.livenessReport;
    if (known !== undefined && !supersedes(report, known)) return false;
    this.livenessReport = report;
    if (known !== undefined && known.incarnation !== report.incarnation) this.beginIncarnation();
    this.wakeRoomWaiters();
    return true;
  }

  /** Applies a report, unless it is of an earlier incarnation than the known one. */
  applyReport(report: BackendReport): boolean {
    const wasSuspect = this.isSuspect;
    this.missedReports = 0;
    if (this.livenessReport !== undefined && report.incarnation < this.livenessReport.incarnation)
      return wasSuspect;
    this.recordLoad(report.load);
    const haveSnapshotsChanged = this.snapshots.replace(report.snapshots, this.clock.now());
    if (haveSnapshotsChanged || wasSuspect) this.wakeRoomWaiters();
    return haveSnapshotsChanged || wasSuspect;
  }

  /** Records a missed report; returns true if it makes the replica suspect. */
  recordMissedReport(): boolean {
    this.missedReports += 1;
    if (this.missedReports !== SUSPECT_AFTER_MISSED_REPORTS) return false;
    this.wakeRoomWaiters();
    return true;
  }

  recordLoad(load: number): void {
    this.lastLoad = { load, at: this.clock.now() };
  }

  recordAnswer(snapshot: string, latency: number): boolean {
    this.latency.add(latency);
    this.failures.add(0);
    return this.snapshots.confirm(snapshot);
  }

  /**
   * Records an attempt that was abandoned after `elapsed` milliseconds. This is a lower bound of its
   * latency, so it counts only if it exceeds the average.
   */
  recordUnfinished(elapsed: number): void {
    if (elapsed > (this.latency.value ?? 0)) this.latency.add(elapsed);
  }

  recordFailure(): void {
    this.failures.add(1);
  }

  recordSnapshotNotHeld(snapshot: string): boolean {
    const haveSnapshotsChanged = this.snapshots.deny(snapshot, this.clock.now());
    if (haveSnapshotsChanged) this.wakeRoomWaiters();
    return haveSnapshotsChanged;
  }

  /** Wakes all waiters, since the requests that may be sent to the replica have changed. */
  private wakeRoomWaiters(): void {
    for (const wake of [...this.roomWaiters]) wake();
  }

  private beginIncarnation(): void {
    this.snapshots.clear();
    this.latency.reset();
    this.failures.reset();
    this.lastLoad = undefined;
    this.firstSeenAt = this.clock.now();
  }
}
