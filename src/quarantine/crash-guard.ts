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
  type WatchedRequest,
} from './abandoned-attempts.js';
import { EvidenceReporter, type EvidenceReporterParts } from './evidence-reporter.js';
import { CrashKnowledge } from './crash-knowledge.js';
import {
  QuarantineState,
  isHeldAgainst,
  type CrashEvidence,
  type QuarantineEntry,
} from './quarantine-entry.js';
import { QuarantineMetrics, type TrialResult } from './quarantine-metrics.js';
import { NO_EVIDENCE, QuarantineChangeKind } from './quarantine-register.js';
import { TrialGrants } from './trial-grants.js';
import { TrialTurns } from './trial-turns.js';

/** Whether a request may be sent to a replica now. */
export enum Admission {
  Free = 'free',
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
  readonly isOn: boolean;
  /** False quarantines a request as soon as it is suspected, without a trial. */
  readonly hasTrials: boolean;
}

/** See the module comment. */
export class CrashGuard {
  private readonly knowledge: CrashKnowledge;
  private readonly abandoned: AbandonedAttempts;
  private readonly turns: TrialTurns;
  private readonly grants: TrialGrants;
  private readonly reporter: EvidenceReporter;
  private readonly metrics: QuarantineMetrics;

  constructor(private readonly parts: CrashGuardParts) {
    this.knowledge = new CrashKnowledge(parts.clock, parts.hasTrials);
    this.abandoned = new AbandonedAttempts(parts.clock);
    this.turns = new TrialTurns(parts.clock);
    const { clock, gateway, send } = parts;
    const onNews = (fingerprint: string): void => this.offerGrant(fingerprint);
    this.grants = new TrialGrants({ clock, gateway, send, onNews });
    this.reporter = new EvidenceReporter(parts);
    this.metrics = new QuarantineMetrics(parts.registry, () => this.knowledge.count());
  }

  /** What is known of a request: suspected, quarantined, or neither, which is `Observed`. */
  stateOf(fingerprint: string): QuarantineState {
    return this.parts.isOn ? this.knowledge.stateOf(fingerprint) : QuarantineState.Observed;
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
  admit(fingerprint: string, onNews: () => void): Admission {
    switch (this.stateOf(fingerprint)) {
      case QuarantineState.Quarantined:
        return Admission.Refused;
      case QuarantineState.Suspected:
        this.turns.wait(fingerprint, onNews);
        return this.mayTry(fingerprint) ? Admission.Trial : Admission.Wait;
      default:
        return Admission.Free;
    }
  }

  /** `onNews` is called once when more is known of the request. */
  onceNews(fingerprint: string, onNews: () => void): void {
    this.turns.wait(fingerprint, onNews);
  }

  /** `onNews` is no longer to be called. */
  cancelNews(fingerprint: string, onNews: () => void): void {
    this.turns.cancel(fingerprint, onNews);
  }

  /** A trial is over. What ended under it is told before, by {@link CrashGuard.noteEnded}. */
  endTrial(fingerprint: string, result: TrialResult): void {
    this.metrics.trials.inc({ result });
    this.grants.release(fingerprint);
    this.turns.end(fingerprint);
  }

  /** A quarantined request came, and was refused. */
  noteRefusal(): void {
    this.metrics.refused.inc();
  }

  /** A trial that was admitted was not sent, and whoever it was does not wait for news. */
  returnTrial(fingerprint: string, onNews: () => void): void {
    this.turns.cancel(fingerprint, onNews);
    this.grants.release(fingerprint);
    this.turns.end(fingerprint);
  }

  /** A replica ran the request and answered: it does not crash each replica that runs it. */
  noteAnswer(fingerprint: string): void {
    this.knowledge.noteAnswer(fingerprint);
    if (!this.knowledge.has(fingerprint)) return;
    this.clear(fingerprint);
    this.turns.wake(fingerprint);
  }

  /** The replica ended, or may have, while it had the request. */
  noteEnded(request: WatchedRequest, replicaId: string, isTrial: boolean): void {
    const { fingerprint } = request;
    if (!this.parts.isOn || this.knowledge.hasRecentAnswer(fingerprint)) return;
    const before = this.stateOf(fingerprint);
    const evidence = this.knowledge.noteEnded(request, replicaId, isTrial);
    this.reporter.report({ ...NO_EVIDENCE, kind: QuarantineChangeKind.Evidence, ...evidence });
    this.logChange(before, evidence);
  }

  /** The attempt was given up by closing its connection; its replica may work on. */
  noteAbandoned(replicaId: string, attempt: AbandonedAttempt, leftMs: number): void {
    if (this.parts.isOn) this.abandoned.note(replicaId, attempt, leftMs);
  }

  /** The replica was found lost: what it may have been working on since it was given up counts. */
  noteReplicaLost(replicaId: string): void {
    for (const { request, isTrial } of this.abandoned.takeAll(replicaId)) {
      this.noteEnded(request, replicaId, isTrial);
    }
  }

  /** Takes what the controllers agreed on; older word than is known changes nothing. */
  take(entry: QuarantineEntry): void {
    const { fingerprint, state } = entry;
    const before = this.stateOf(fingerprint);
    if (!this.knowledge.take(entry)) return;
    const isSettled = !isHeldAgainst(state) || this.knowledge.isAllAgreed(fingerprint);
    if (isSettled) this.reporter.settle(fingerprint);
    if (this.knowledge.hasRecentAnswer(fingerprint)) this.clear(fingerprint);
    this.logChange(before, entry);
    this.grants.take(entry);
    this.turns.wake(fingerprint);
  }

  /** What all gateways suspect is tried by one of them at a time, the rest by each for itself. */
  private mayTry(fingerprint: string): boolean {
    if (!this.turns.isFree(fingerprint)) return false;
    const agreed = this.knowledge.agreedSuspicion(fingerprint);
    const isPermitted = agreed === undefined || this.grants.use(agreed);
    return isPermitted && this.turns.take(fingerprint);
  }

  /** Whoever waits takes the permission; when nobody does any more, it is given back. */
  private offerGrant(fingerprint: string): void {
    this.turns.wake(fingerprint);
    if (this.turns.isFree(fingerprint)) this.grants.release(fingerprint);
  }

  /** Nothing is held against the request any more; controllers are told if they may know of it. */
  private clear(fingerprint: string): void {
    const wasTold = this.knowledge.isAgreed(fingerprint) || this.reporter.hasTold(fingerprint);
    this.knowledge.clear(fingerprint);
    this.reporter.settle(fingerprint);
    if (!wasTold) return;
    this.reporter.report({ ...NO_EVIDENCE, kind: QuarantineChangeKind.Answer, fingerprint });
  }

  private logChange(before: QuarantineState, { fingerprint, ...evidence }: CrashEvidence): void {
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
