/**
 * Keeps a request that crashes the replicas that run it from reaching more of them, and lets
 * all others pass. Who ran beside it on a replica loses the replica too, so a count of losses
 * alone would refuse the innocent with it: after some losses without an answer the request is
 * suspected, and sent to one replica at a time. An answer clears it; when replicas end under
 * it in such trials as well, every gateway refuses it until an operator lifts that.
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

/** Whether a request may be sent to a replica now. */
export enum CrashGuardDecision {
  Allowed = 'free',
  /** As a trial, whose end is to be told to {@link CrashGuard.endTrial}. */
  Trial = 'trial',
  /** Another sending of it is being tried. */
  Wait = 'wait',
  Refused = 'refused',
}

/** What the guard works with. */
export interface CrashGuardParts extends EvidenceReporterParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly registry: Registry;
  /** Name of this gateway. */
  readonly gateway: string;
  /** False lets every request pass. */
  readonly isEnabled: boolean;
  /** False quarantines a request as soon as it is suspected, without a trial. */
  readonly areTrialsEnabled: boolean;
}

/** See the module comment. */
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
    const onNews = (fingerprint: string): void => this.onGrantChange(fingerprint);
    this.grants = new TrialGrants({ clock, gateway, send, onChange: onNews });
    this.reporter = new EvidenceReporter(parts);
    this.metrics = new QuarantineMetrics(parts.registry, () => this.evidenceStore.count());
  }

  /** What is known of a request: suspected, quarantined, or neither, which is `Observed`. */
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
   * Asked before each sending. While it waits or is a trial, `onNews` is called once when more
   * is known of the request.
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

  /** `onNews` is called once when more is known of the request. */
  onceChanged(fingerprint: string, onChange: () => void): void {
    this.slots.wait(fingerprint, onChange);
  }

  /** `onNews` is no longer to be called. */
  cancelOnceChanged(fingerprint: string, onChange: () => void): void {
    this.slots.cancel(fingerprint, onChange);
  }

  /** A trial is over. What ended under it is told before, by {@link CrashGuard.recordTermination}. */
  endTrial(fingerprint: string, result: TrialResult): void {
    this.metrics.trials.inc({ result });
    this.grants.release(fingerprint);
    this.slots.release(fingerprint);
  }

  /** A quarantined request came, and was refused. */
  recordRefusal(): void {
    this.metrics.refused.inc();
  }

  /** A trial that was admitted was not sent, and whoever it was does not wait for news. */
  cancelTrial(fingerprint: string, onChange: () => void): void {
    this.slots.cancel(fingerprint, onChange);
    this.grants.release(fingerprint);
    this.slots.release(fingerprint);
  }

  /** A replica ran the request and answered: it does not crash each replica that runs it. */
  recordAnswer(fingerprint: string): void {
    this.evidenceStore.recordAnswer(fingerprint);
    if (!this.evidenceStore.hasEvidence(fingerprint)) return;
    this.clearEvidence(fingerprint);
    this.slots.notifyWaiters(fingerprint);
  }

  /** The replica ended, or may have, while it had the request. */
  recordTermination(request: RequestIdentity, replicaId: string, isTrial: boolean): void {
    const { fingerprint } = request;
    if (!this.parts.isEnabled || this.evidenceStore.hasRecentAnswer(fingerprint)) return;
    const before = this.stateOf(fingerprint);
    const evidence = this.evidenceStore.recordTermination(request, replicaId, isTrial);
    this.reporter.report({ ...NO_EVIDENCE, kind: QuarantineChangeKind.Evidence, ...evidence });
    this.logStateChange(before, evidence);
  }

  /** The attempt was given up by closing its connection; its replica may work on. */
  recordAbandonedAttempt(replicaId: string, attempt: AbandonedAttempt, leftMs: number): void {
    if (this.parts.isEnabled) this.abandoned.record(replicaId, attempt, leftMs);
  }

  /** The replica was found lost: what it may have been working on since it was given up counts. */
  recordReplicaLoss(replicaId: string): void {
    for (const { request, isTrial } of this.abandoned.takeAll(replicaId)) {
      this.recordTermination(request, replicaId, isTrial);
    }
  }

  /** Takes what the controllers agreed on; older word than is known changes nothing. */
  applyEntry(entry: QuarantineEntry): void {
    const { fingerprint, state } = entry;
    const before = this.stateOf(fingerprint);
    if (!this.evidenceStore.applyEntry(entry)) return;
    const isSettled = !isActiveState(state) || this.evidenceStore.isFullyReplicated(fingerprint);
    if (isSettled) this.reporter.discard(fingerprint);
    if (this.evidenceStore.hasRecentAnswer(fingerprint)) this.clearEvidence(fingerprint);
    this.logStateChange(before, entry);
    this.grants.applyEntry(entry);
    this.slots.notifyWaiters(fingerprint);
  }

  /** What all gateways suspect is tried by one of them at a time, the rest by each for itself. */
  private tryStartTrial(fingerprint: string): boolean {
    if (!this.slots.isFree(fingerprint)) return false;
    const agreed = this.evidenceStore.replicatedSuspicion(fingerprint);
    const isPermitted = agreed === undefined || this.grants.tryUse(agreed);
    return isPermitted && this.slots.tryAcquire(fingerprint);
  }

  /** Whoever waits takes the permission; when nobody does any more, it is given back. */
  private onGrantChange(fingerprint: string): void {
    this.slots.notifyWaiters(fingerprint);
    if (this.slots.isFree(fingerprint)) this.grants.release(fingerprint);
  }

  /** Nothing is held against the request any more; controllers are told if they may know of it. */
  private clearEvidence(fingerprint: string): void {
    const wasTold =
      this.evidenceStore.hasReplicatedEvidence(fingerprint) ||
      this.reporter.hasReported(fingerprint);
    this.evidenceStore.clearEvidence(fingerprint);
    this.reporter.discard(fingerprint);
    if (!wasTold) return;
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
