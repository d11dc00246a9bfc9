/**
 * What a gateway knows of requests under which replicas ended: what it saw itself, what the
 * controllers agreed on, and which requests were answered a moment ago. Bounded in each.
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
 * An answer so long ago still speaks for the request: the parts of one request to many shards
 * end within this time of each other. Milliseconds.
 */
const RECENT_ANSWER_MS = 2_000;
/** Answers that are remembered. */
const MAXIMUM_ANSWERS = 4_096;

/** See the module comment. */
export class CrashEvidenceStore {
  private readonly local = new RecentMap<string, CrashEvidence>(MAXIMUM_ENTRIES);
  private readonly replicated = new RecentMap<string, QuarantineEntry>(MAXIMUM_ENTRIES);
  private readonly answeredAt = new RecentMap<string, number>(MAXIMUM_ANSWERS);

  constructor(
    private readonly clock: Clock,
    /** False quarantines a request where it would be suspected. */
    private readonly areTrialsEnabled: boolean,
  ) {}

  /** Suspected, quarantined, or neither, which is `Observed`. */
  stateOf(fingerprint: string): QuarantineState {
    const seen = this.local.get(fingerprint);
    const agreed = this.activeReplicatedEntry(fingerprint);
    if (seen === undefined && agreed === undefined) return QuarantineState.Observed;
    if (agreed?.state === QuarantineState.Quarantined) return agreed.state;
    const ended = mergeReplicaIds(agreed?.ended ?? [], seen?.ended ?? []).length;
    const endedInTrial = mergeReplicaIds(
      agreed?.endedInTrial ?? [],
      seen?.endedInTrial ?? [],
    ).length;
    if (!this.areTrialsEnabled) return stateWithoutTrials(ended);
    const state = stateFor(ended, endedInTrial);
    // A trial costs a request that is tried again nothing, so here the first loss is enough.
    const isSuspectedHere = seen !== undefined && state === QuarantineState.Observed;
    return isSuspectedHere ? QuarantineState.Suspected : state;
  }

  /** Whether anything is held against the request. */
  hasEvidence(fingerprint: string): boolean {
    return this.local.get(fingerprint) !== undefined || this.hasReplicatedEvidence(fingerprint);
  }

  /** What the controllers agreed on, where it is that the request is to be tried. */
  replicatedSuspicion(fingerprint: string): QuarantineEntry | undefined {
    const agreed = this.activeReplicatedEntry(fingerprint);
    return agreed?.state === QuarantineState.Suspected ? agreed : undefined;
  }

  /** Whether the controllers hold something against the request. */
  hasReplicatedEvidence(fingerprint: string): boolean {
    return this.activeReplicatedEntry(fingerprint) !== undefined;
  }

  /** A replica ended under the request; gives all that this gateway saw of it. */
  recordTermination(request: RequestIdentity, replicaId: string, isTrial: boolean): CrashEvidence {
    const { fingerprint, description } = request;
    const seen = this.local.get(fingerprint);
    const evidence = {
      fingerprint,
      description,
      ended: mergeReplicaIds(seen?.ended ?? [], [replicaId]),
      endedInTrial: mergeReplicaIds(seen?.endedInTrial ?? [], isTrial ? [replicaId] : []),
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

  /** Nothing is held against the request any more, unless newer word of the controllers comes. */
  clearEvidence(fingerprint: string): void {
    this.local.delete(fingerprint);
    const agreed = this.activeReplicatedEntry(fingerprint);
    if (agreed === undefined) return;
    this.replicated.set(fingerprint, { ...agreed, state: QuarantineState.Answered });
  }

  /** Takes what the controllers agreed on; false when newer word is known. */
  applyEntry(entry: QuarantineEntry): boolean {
    const known = this.replicated.get(entry.fingerprint);
    if (known !== undefined && known.revision >= entry.revision) return false;
    this.replicated.set(entry.fingerprint, entry);
    if (!isActiveState(entry.state)) this.local.delete(entry.fingerprint);
    return true;
  }

  /** Whether the controllers know all that this gateway saw of the request. */
  isFullyReplicated(fingerprint: string): boolean {
    const seen = this.local.get(fingerprint);
    if (seen === undefined) return true;
    const { ended = [], endedInTrial = [] } = this.activeReplicatedEntry(fingerprint) ?? {};
    return (
      mergeReplicaIds(ended, seen.ended).length === ended.length &&
      mergeReplicaIds(endedInTrial, seen.endedInTrial).length === endedInTrial.length
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
    const agreed = this.replicated.get(fingerprint);
    return agreed !== undefined && isActiveState(agreed.state) ? agreed : undefined;
  }
}
