/**
 * A gateway's evidence about requests with which replicas terminated: its own (local) evidence,
 * the controllers' (replicated) entries, and the requests that were answered recently. Each of
 * the three is bounded.
 */
import type { Clock } from '../seams/clock.js';
import type { RequestIdentity } from './abandoned-attempts.js';
import type { QuarantineCounts } from './quarantine-metrics.js';
import {
  MAXIMUM_ENTRIES,
  QuarantineState,
  isActiveState,
  mergeReplicaIds,
  stateFor,
  stateWithoutTrials,
  type CrashEvidence,
  type QuarantineEntry,
} from './quarantine-entry.js';
import { RecentMap } from './recent-map.js';

/**
 * How long an answer clears its request of terminations: the attempts of one fan-out request
 * to many shards end within this time of each other. Milliseconds.
 */
const RECENT_ANSWER_MS = 2_000;
/** Most recent answers that are kept. */
const MAXIMUM_ANSWERS = 4_096;

/** Computes the state of a request from local and replicated evidence together. */
export class CrashEvidenceStore {
  private readonly local = new RecentMap<string, CrashEvidence>(MAXIMUM_ENTRIES);
  private readonly replicated = new RecentMap<string, QuarantineEntry>(MAXIMUM_ENTRIES);
  private readonly answeredAt = new RecentMap<string, number>(MAXIMUM_ANSWERS);

  constructor(
    private readonly clock: Clock,
    /** False quarantines a request where it would be suspected, without trials. */
    private readonly areTrialsEnabled: boolean,
  ) {}

  /** `Suspected`, `Quarantined`, or `Observed` for any other request. */
  stateOf(fingerprint: string): QuarantineState {
    const local = this.local.get(fingerprint);
    const replicated = this.activeReplicatedEntry(fingerprint);
    if (local === undefined && replicated === undefined) return QuarantineState.Observed;
    if (replicated?.state === QuarantineState.Quarantined) return replicated.state;
    const ended = mergeReplicaIds(replicated?.ended ?? [], local?.ended ?? []).length;
    const endedInTrial = mergeReplicaIds(
      replicated?.endedInTrial ?? [],
      local?.endedInTrial ?? [],
    ).length;
    if (!this.areTrialsEnabled) return stateWithoutTrials(ended);
    const state = stateFor(ended, endedInTrial);
    // A retry loses nothing by being a trial, so one local termination is enough for suspicion.
    const isSuspectedHere = local !== undefined && state === QuarantineState.Observed;
    return isSuspectedHere ? QuarantineState.Suspected : state;
  }

  /** Whether any evidence counts against the request. */
  hasEvidence(fingerprint: string): boolean {
    return this.local.get(fingerprint) !== undefined || this.hasReplicatedEvidence(fingerprint);
  }

  /** The replicated entry of a request that the controllers suspect. */
  replicatedSuspicion(fingerprint: string): QuarantineEntry | undefined {
    const replicated = this.activeReplicatedEntry(fingerprint);
    return replicated?.state === QuarantineState.Suspected ? replicated : undefined;
  }

  /** Whether replicated evidence counts against the request. */
  hasReplicatedEvidence(fingerprint: string): boolean {
    return this.activeReplicatedEntry(fingerprint) !== undefined;
  }

  /** Adds a terminated replica to the local evidence about the request, which it returns. */
  recordTermination(request: RequestIdentity, replicaId: string, isTrial: boolean): CrashEvidence {
    const { fingerprint, description } = request;
    const local = this.local.get(fingerprint);
    const evidence = {
      fingerprint,
      description,
      ended: mergeReplicaIds(local?.ended ?? [], [replicaId]),
      endedInTrial: mergeReplicaIds(local?.endedInTrial ?? [], isTrial ? [replicaId] : []),
    };
    this.local.set(fingerprint, evidence);
    return evidence;
  }

  recordAnswer(fingerprint: string): void {
    this.answeredAt.set(fingerprint, this.clock.now());
  }

  hasRecentAnswer(fingerprint: string): boolean {
    const answeredAt = this.answeredAt.get(fingerprint) ?? -Infinity;
    return this.clock.now() - answeredAt < RECENT_ANSWER_MS;
  }

  /** Discards all evidence about the request; a newer replicated entry counts again. */
  clearEvidence(fingerprint: string): void {
    this.local.delete(fingerprint);
    const replicated = this.activeReplicatedEntry(fingerprint);
    if (replicated === undefined) return;
    this.replicated.set(fingerprint, { ...replicated, state: QuarantineState.Answered });
  }

  /** Applies a replicated entry; false when the known entry is at least as recent. */
  applyEntry(entry: QuarantineEntry): boolean {
    const known = this.replicated.get(entry.fingerprint);
    if (known !== undefined && known.revision >= entry.revision) return false;
    this.replicated.set(entry.fingerprint, entry);
    if (!isActiveState(entry.state)) this.local.delete(entry.fingerprint);
    return true;
  }

  /** Whether the replicated entry includes all local evidence about the request. */
  isFullyReplicated(fingerprint: string): boolean {
    const local = this.local.get(fingerprint);
    if (local === undefined) return true;
    const { ended = [], endedInTrial = [] } = this.activeReplicatedEntry(fingerprint) ?? {};
    return (
      mergeReplicaIds(ended, local.ended).length === ended.length &&
      mergeReplicaIds(endedInTrial, local.endedInTrial).length === endedInTrial.length
    );
  }

  count(): QuarantineCounts {
    const known = new Set<string>();
    for (const { fingerprint } of this.local.values()) known.add(fingerprint);
    for (const { fingerprint } of this.replicated.values()) known.add(fingerprint);
    const states = [...known].map((fingerprint) => this.stateOf(fingerprint));
    const countOf = (wanted: QuarantineState): number =>
      states.filter((state) => state === wanted).length;
    return {
      suspected: countOf(QuarantineState.Suspected),
      quarantined: countOf(QuarantineState.Quarantined),
    };
  }

  private activeReplicatedEntry(fingerprint: string): QuarantineEntry | undefined {
    const replicated = this.replicated.get(fingerprint);
    return replicated !== undefined && isActiveState(replicated.state) ? replicated : undefined;
  }
}
