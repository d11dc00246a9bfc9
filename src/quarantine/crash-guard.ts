/**
 * Stops a request that crashes replicas from reaching more of them, and lets all others pass.
 * Requests that run on a replica beside the crashing one lose the replica too, so a count of
 * terminated replicas alone would also refuse requests that are not the cause. After some
 * terminations without an answer a request is therefore suspected and sent in trials, to one
 * replica at a time. An answer clears the request. When replicas terminate in its trials as
 * well, it is quarantined: every gateway refuses it until an operator lifts the quarantine.
 */
import type { Registry } from 'prom-client';
import { DecisionKind, type DecisionLog } from '../observability/decision-log.js';
import type { Clock } from '../seams/clock.js';
import {
  AbandonedAttempts,
  type AbandonedAttempt,
  type RequestIdentity,
} from './abandoned-attempts.js';
import { EvidenceReporter, type EvidenceReporterParts } from './evidence-reporter.js';
import { CrashEvidenceStore } from './crash-evidence-store.js';
import {
  QuarantineState,
  isActiveState,
  type CrashEvidence,
  type QuarantineEntry,
} from './quarantine-entry.js';
import { QuarantineMetrics, type TrialResult } from './quarantine-metrics.js';
import { NO_EVIDENCE, QuarantineChangeKind } from './quarantine-register.js';
import { TrialGrants } from './trial-grants.js';
import { TrialSlots } from './trial-slots.js';

/** Whether an attempt of a request may be sent now. */
export enum CrashGuardDecision {
  Allowed = 'free',
  /** The attempt is a trial; its caller must call {@link CrashGuard.endTrial} when it ends. */
  Trial = 'trial',
  /** Another trial of the request is in progress. */
  Wait = 'wait',
  /** The request is quarantined. */
  Refused = 'refused',
}

/** Dependencies and settings of {@link CrashGuard}. */
export interface CrashGuardParts extends EvidenceReporterParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly registry: Registry;
  /** Name of this gateway. */
  readonly gateway: string;
  /** False lets every request pass and records nothing. */
  readonly isEnabled: boolean;
  /** False quarantines a request where it would be suspected, without trials. */
  readonly areTrialsEnabled: boolean;
}

/** One instance per gateway; all attempts of its requests are reported to it. */
export class CrashGuard {
  private readonly evidenceStore: CrashEvidenceStore;
  private readonly abandoned: AbandonedAttempts;
  private readonly slots: TrialSlots;
  private readonly grants: TrialGrants;
  private readonly reporter: EvidenceReporter;
  private readonly metrics: QuarantineMetrics;

  constructor(private readonly parts: CrashGuardParts) {
    this.evidenceStore = new CrashEvidenceStore(parts.clock, parts.areTrialsEnabled);
    this.abandoned = new AbandonedAttempts(parts.clock);
    this.slots = new TrialSlots(parts.clock);
    const { clock, gateway, send } = parts;
    const onChange = (fingerprint: string): void => this.onGrantChange(fingerprint);
    this.grants = new TrialGrants({ clock, gateway, send, onChange });
    this.reporter = new EvidenceReporter(parts);
    this.metrics = new QuarantineMetrics(parts.registry, () => this.evidenceStore.count());
  }

  /** `Suspected`, `Quarantined`, or `Observed` for any other request. */
  stateOf(fingerprint: string): QuarantineState {
    return this.parts.isEnabled
      ? this.evidenceStore.stateOf(fingerprint)
      : QuarantineState.Observed;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.stateOf(fingerprint) === QuarantineState.Quarantined;
  }

  isSuspected(fingerprint: string): boolean {
    return this.stateOf(fingerprint) === QuarantineState.Suspected;
  }

  /**
   * Decides on an attempt; called before each one. For `Wait` and `Trial`, `onChange` is called
   * once when the request's state may have changed or its next trial may begin.
   */
  admit(fingerprint: string, onChange: () => void): CrashGuardDecision {
    switch (this.stateOf(fingerprint)) {
      case QuarantineState.Quarantined:
        return CrashGuardDecision.Refused;
      case QuarantineState.Suspected:
        this.slots.wait(fingerprint, onChange);
        return this.tryStartTrial(fingerprint) ? CrashGuardDecision.Trial : CrashGuardDecision.Wait;
      default:
        return CrashGuardDecision.Allowed;
    }
  }

  /** Calls `onChange` once when the request's state may have changed or its next trial may begin. */
  onceChanged(fingerprint: string, onChange: () => void): void {
    this.slots.wait(fingerprint, onChange);
  }

  /** Withdraws a callback of {@link CrashGuard.admit} or {@link CrashGuard.onceChanged}. */
  cancelOnceChanged(fingerprint: string, onChange: () => void): void {
    this.slots.cancel(fingerprint, onChange);
  }

  /** Ends a trial; if its replica terminated, {@link CrashGuard.recordTermination} is called first. */
  endTrial(fingerprint: string, result: TrialResult): void {
    this.metrics.trials.inc({ result });
    this.grants.release(fingerprint);
    this.slots.release(fingerprint);
  }

  /** Counts a request that was refused because it is quarantined. */
  recordRefusal(): void {
    this.metrics.refused.inc();
  }

  /** Ends a trial that was admitted but not sent, and withdraws its callback. */
  cancelTrial(fingerprint: string, onChange: () => void): void {
    this.slots.cancel(fingerprint, onChange);
    this.grants.release(fingerprint);
    this.slots.release(fingerprint);
  }

  /** Clears a request that a replica ran and answered, since it does not crash every replica that runs it. */
  recordAnswer(fingerprint: string): void {
    this.evidenceStore.recordAnswer(fingerprint);
    if (!this.evidenceStore.hasEvidence(fingerprint)) return;
    this.clearEvidence(fingerprint);
    this.slots.notifyWaiters(fingerprint);
  }

  /** Records that a replica terminated, or may have, with an attempt of the request in flight. */
  recordTermination(request: RequestIdentity, replicaId: string, isTrial: boolean): void {
    const { fingerprint } = request;
    if (!this.parts.isEnabled || this.evidenceStore.hasRecentAnswer(fingerprint)) return;
    const before = this.stateOf(fingerprint);
    const evidence = this.evidenceStore.recordTermination(request, replicaId, isTrial);
    this.reporter.report({ ...NO_EVIDENCE, kind: QuarantineChangeKind.Evidence, ...evidence });
    this.logStateChange(before, evidence);
  }

  /** Records an attempt that was abandoned by closing its connection; its replica may continue to run it. */
  recordAbandonedAttempt(replicaId: string, attempt: AbandonedAttempt, leftMs: number): void {
    if (this.parts.isEnabled) this.abandoned.record(replicaId, attempt, leftMs);
  }

  /** Records a termination for each abandoned attempt that a lost replica may have been running. */
  recordReplicaLoss(replicaId: string): void {
    for (const { request, isTrial } of this.abandoned.takeAll(replicaId)) {
      this.recordTermination(request, replicaId, isTrial);
    }
  }

  /** Applies a replicated entry from the controllers; one older than the known entry is ignored. */
  applyEntry(entry: QuarantineEntry): void {
    const { fingerprint, state } = entry;
    const before = this.stateOf(fingerprint);
    if (!this.evidenceStore.applyEntry(entry)) return;
    const needsNoReport =
      !isActiveState(state) || this.evidenceStore.isFullyReplicated(fingerprint);
    if (needsNoReport) this.reporter.discard(fingerprint);
    if (this.evidenceStore.hasRecentAnswer(fingerprint)) this.clearEvidence(fingerprint);
    this.logStateChange(before, entry);
    this.grants.applyEntry(entry);
    this.slots.notifyWaiters(fingerprint);
  }

  /** Ends the reports to controllers; call it before the connections to them close. */
  stop(): void {
    this.reporter.stop();
    this.grants.stop();
  }

  /**
   * Starts a trial if it may begin now. Of a request that the controllers suspect, all gateways
   * together run one trial at a time; of one that only this gateway suspects, each runs its own.
   */
  private tryStartTrial(fingerprint: string): boolean {
    if (!this.slots.isFree(fingerprint)) return false;
    const suspicion = this.evidenceStore.replicatedSuspicion(fingerprint);
    const isGranted = suspicion === undefined || this.grants.tryUse(suspicion);
    return isGranted && this.slots.tryAcquire(fingerprint);
  }

  /** Offers the grant to the waiting attempts, and gives it back when none of them starts a trial. */
  private onGrantChange(fingerprint: string): void {
    this.slots.notifyWaiters(fingerprint);
    if (this.slots.isFree(fingerprint)) this.grants.release(fingerprint);
  }

  /** Discards the evidence about a request; reports the answer if the controllers may have evidence. */
  private clearEvidence(fingerprint: string): void {
    const wasReported =
      this.evidenceStore.hasReplicatedEvidence(fingerprint) ||
      this.reporter.hasReported(fingerprint);
    this.evidenceStore.clearEvidence(fingerprint);
    this.reporter.discard(fingerprint);
    if (!wasReported) return;
    this.reporter.report({ ...NO_EVIDENCE, kind: QuarantineChangeKind.Answer, fingerprint });
  }

  private logStateChange(
    before: QuarantineState,
    { fingerprint, ...evidence }: CrashEvidence,
  ): void {
    const after = this.stateOf(fingerprint);
    if (after === before) return;
    const { description, ended, endedInTrial } = evidence;
    this.parts.log.write(DecisionKind.QuarantineChanged, () => ({
      fingerprint,
      request: description,
      before,
      after,
      ended: ended.join(' '),
      endedInTrial: endedInTrial.join(' '),
    }));
  }
}
