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
import {
  MAXIMUM_ENTRIES,
  QuarantineState,
  isHeldAgainst,
  joinReplicas,
  judge,
  judgeWithoutTrials,
  type CrashEvidence,
  type QuarantineEntry,
} from './quarantine-entry.js';
import {
  QuarantineMetrics,
  type QuarantineCounts,
  type TrialResult,
} from './quarantine-metrics.js';
import { QuarantineChangeKind } from './quarantine-register.js';
import { RecentMap } from './recent-map.js';
import { TrialTurns } from './trial-turns.js';

/**
 * An answer so long ago still speaks for the request: the parts of one request to many shards
 * end within this time of each other. Milliseconds.
 */
const ANSWER_COUNTS_MS = 2_000;
/** Answers that are remembered. */
const MAXIMUM_ANSWERS = 4_096;

/** Evidence that names no replica. */
const NO_EVIDENCE = { description: '', ended: [], endedInTrial: [] };

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
  /** False lets every request pass. */
  readonly isOn: boolean;
  /** False quarantines a request as soon as it is suspected, without a trial. */
  readonly hasTrials: boolean;
}

/** See the module comment. */
export class CrashGuard {
  /** What this gateway saw and the controllers have not confirmed. */
  private readonly seen = new RecentMap<string, CrashEvidence>(MAXIMUM_ENTRIES);
  /** What the controllers agreed on. */
  private readonly agreed = new RecentMap<string, QuarantineEntry>(MAXIMUM_ENTRIES);
  private readonly answeredAt = new RecentMap<string, number>(MAXIMUM_ANSWERS);
  private readonly abandoned: AbandonedAttempts;
  private readonly turns: TrialTurns;
  private readonly reporter: EvidenceReporter;
  private readonly metrics: QuarantineMetrics;

  constructor(private readonly parts: CrashGuardParts) {
    this.abandoned = new AbandonedAttempts(parts.clock);
    this.turns = new TrialTurns(parts.clock);
    this.reporter = new EvidenceReporter(parts);
    this.metrics = new QuarantineMetrics(parts.registry, () => this.count());
  }

  /** What is known of a request: suspected, quarantined, or neither, which is `Observed`. */
  stateOf(fingerprint: string): QuarantineState {
    const seen = this.seen.get(fingerprint);
    const agreed = this.agreed.get(fingerprint);
    if (!this.parts.isOn || (seen === undefined && agreed === undefined)) {
      return QuarantineState.Observed;
    }
    const isAgreed = agreed !== undefined && isHeldAgainst(agreed.state);
    if (isAgreed && agreed.state === QuarantineState.Quarantined) return agreed.state;
    const known = isAgreed ? agreed : undefined;
    const state = this.judge(
      joinReplicas(known?.ended ?? [], seen?.ended ?? []).length,
      joinReplicas(known?.endedInTrial ?? [], seen?.endedInTrial ?? []).length,
    );
    // A trial costs a request that is tried again nothing, so here the first loss is enough.
    const isSeen = seen !== undefined && this.parts.hasTrials;
    return isSeen && state === QuarantineState.Observed ? QuarantineState.Suspected : state;
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
        return this.turns.take(fingerprint) ? Admission.Trial : Admission.Wait;
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
    this.turns.end(fingerprint);
  }

  /** A quarantined request came, and was refused. */
  noteRefusal(): void {
    this.metrics.refused.inc();
  }

  /** A trial that was admitted was not sent, and whoever it was does not wait for news. */
  returnTrial(fingerprint: string, onNews: () => void): void {
    this.turns.cancel(fingerprint, onNews);
    this.turns.end(fingerprint);
  }

  /** A replica ran the request and answered: it does not crash each replica that runs it. */
  noteAnswer(fingerprint: string): void {
    this.answeredAt.set(fingerprint, this.parts.clock.now());
    const agreed = this.agreed.get(fingerprint);
    const isHeld = agreed !== undefined && isHeldAgainst(agreed.state);
    if (!isHeld && this.seen.get(fingerprint) === undefined) return;
    this.clear(fingerprint);
    this.turns.wake(fingerprint);
  }

  /** The replica ended, or may have, while it had the request. */
  noteEnded(request: WatchedRequest, replicaId: string, isTrial: boolean): void {
    const { fingerprint, description } = request;
    if (!this.parts.isOn || this.hasRecentAnswer(fingerprint)) return;
    const before = this.stateOf(fingerprint);
    const seen = this.seen.get(fingerprint);
    const evidence = {
      fingerprint,
      description,
      ended: joinReplicas(seen?.ended ?? [], [replicaId]),
      endedInTrial: joinReplicas(seen?.endedInTrial ?? [], isTrial ? [replicaId] : []),
    };
    this.seen.set(fingerprint, evidence);
    this.report(QuarantineChangeKind.Evidence, evidence);
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
    const { fingerprint, state, revision } = entry;
    const known = this.agreed.get(fingerprint);
    if (known !== undefined && known.revision >= revision) return;
    const before = this.stateOf(fingerprint);
    this.agreed.set(fingerprint, entry);
    if (!isHeldAgainst(state)) {
      this.seen.delete(fingerprint);
      this.reporter.settle(fingerprint);
    } else if (this.hasRecentAnswer(fingerprint)) {
      this.clear(fingerprint);
    } else if (this.holdsAllSeen(entry)) {
      this.reporter.settle(fingerprint);
    }
    this.logChange(before, entry);
    this.turns.wake(fingerprint);
  }

  private hasRecentAnswer(fingerprint: string): boolean {
    const answeredAt = this.answeredAt.get(fingerprint) ?? -Infinity;
    return this.parts.clock.now() - answeredAt < ANSWER_COUNTS_MS;
  }

  /** Nothing is held against the request any more; controllers are told if they may know of it. */
  private clear(fingerprint: string): void {
    const agreed = this.agreed.get(fingerprint);
    const isHeld = agreed !== undefined && isHeldAgainst(agreed.state);
    const wasTold = isHeld || this.reporter.hasTold(fingerprint);
    this.seen.delete(fingerprint);
    this.reporter.settle(fingerprint);
    if (isHeld) this.agreed.set(fingerprint, { ...agreed, state: QuarantineState.Answered });
    if (wasTold) this.report(QuarantineChangeKind.Answer, { ...NO_EVIDENCE, fingerprint });
  }

  private judge(ended: number, endedInTrial: number): QuarantineState {
    return this.parts.hasTrials ? judge(ended, endedInTrial) : judgeWithoutTrials(ended);
  }

  private holdsAllSeen(entry: QuarantineEntry): boolean {
    const seen = this.seen.get(entry.fingerprint);
    if (seen === undefined) return true;
    return (
      joinReplicas(entry.ended, seen.ended).length === entry.ended.length &&
      joinReplicas(entry.endedInTrial, seen.endedInTrial).length === entry.endedInTrial.length
    );
  }

  private report(kind: QuarantineChangeKind, evidence: CrashEvidence): void {
    this.reporter.report({ kind, ...evidence });
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

  private count(): QuarantineCounts {
    const known = new Set<string>();
    for (const { fingerprint } of this.seen.values()) known.add(fingerprint);
    for (const { fingerprint } of this.agreed.values()) known.add(fingerprint);
    const states = [...known].map((fingerprint) => this.stateOf(fingerprint));
    const countOf = (wanted: QuarantineState): number =>
      states.filter((state) => state === wanted).length;
    return {
      suspected: countOf(QuarantineState.Suspected),
      quarantined: countOf(QuarantineState.Quarantined),
    };
  }
}
