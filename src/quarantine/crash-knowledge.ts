/**
 * What a gateway knows of requests under which replicas ended: what it saw itself, what the
 * controllers agreed on, and which requests were answered a moment ago. Bounded in each.
 */
import type { Clock } from '../seams/clock.js';
import type { WatchedRequest } from './abandoned-attempts.js';
import type { QuarantineCounts } from './quarantine-metrics.js';
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
import { RecentMap } from './recent-map.js';

/**
 * An answer so long ago still speaks for the request: the parts of one request to many shards
 * end within this time of each other. Milliseconds.
 */
const ANSWER_COUNTS_MS = 2_000;
/** Answers that are remembered. */
const MAXIMUM_ANSWERS = 4_096;

/** See the module comment. */
export class CrashKnowledge {
  private readonly seen = new RecentMap<string, CrashEvidence>(MAXIMUM_ENTRIES);
  private readonly agreed = new RecentMap<string, QuarantineEntry>(MAXIMUM_ENTRIES);
  private readonly answeredAt = new RecentMap<string, number>(MAXIMUM_ANSWERS);

  constructor(
    private readonly clock: Clock,
    /** False quarantines a request where it would be suspected. */
    private readonly hasTrials: boolean,
  ) {}

  /** Suspected, quarantined, or neither, which is `Observed`. */
  stateOf(fingerprint: string): QuarantineState {
    const seen = this.seen.get(fingerprint);
    const agreed = this.heldAgainst(fingerprint);
    if (seen === undefined && agreed === undefined) return QuarantineState.Observed;
    if (agreed?.state === QuarantineState.Quarantined) return agreed.state;
    const ended = joinReplicas(agreed?.ended ?? [], seen?.ended ?? []).length;
    const endedInTrial = joinReplicas(agreed?.endedInTrial ?? [], seen?.endedInTrial ?? []).length;
    if (!this.hasTrials) return judgeWithoutTrials(ended);
    const state = judge(ended, endedInTrial);
    // A trial costs a request that is tried again nothing, so here the first loss is enough.
    const isSuspectedHere = seen !== undefined && state === QuarantineState.Observed;
    return isSuspectedHere ? QuarantineState.Suspected : state;
  }

  /** Whether anything is held against the request. */
  has(fingerprint: string): boolean {
    return this.seen.get(fingerprint) !== undefined || this.isAgreed(fingerprint);
  }

  /** What the controllers agreed on, where it is that the request is to be tried. */
  agreedSuspicion(fingerprint: string): QuarantineEntry | undefined {
    const agreed = this.heldAgainst(fingerprint);
    return agreed?.state === QuarantineState.Suspected ? agreed : undefined;
  }

  /** Whether the controllers hold something against the request. */
  isAgreed(fingerprint: string): boolean {
    return this.heldAgainst(fingerprint) !== undefined;
  }

  /** A replica ended under the request; gives all that this gateway saw of it. */
  noteEnded(request: WatchedRequest, replicaId: string, isTrial: boolean): CrashEvidence {
    const { fingerprint, description } = request;
    const seen = this.seen.get(fingerprint);
    const evidence = {
      fingerprint,
      description,
      ended: joinReplicas(seen?.ended ?? [], [replicaId]),
      endedInTrial: joinReplicas(seen?.endedInTrial ?? [], isTrial ? [replicaId] : []),
    };
    this.seen.set(fingerprint, evidence);
    return evidence;
  }

  noteAnswer(fingerprint: string): void {
    this.answeredAt.set(fingerprint, this.clock.now());
  }

  hasRecentAnswer(fingerprint: string): boolean {
    const answeredAt = this.answeredAt.get(fingerprint) ?? -Infinity;
    return this.clock.now() - answeredAt < ANSWER_COUNTS_MS;
  }

  /** Nothing is held against the request any more, unless newer word of the controllers comes. */
  clear(fingerprint: string): void {
    this.seen.delete(fingerprint);
    const agreed = this.heldAgainst(fingerprint);
    if (agreed === undefined) return;
    this.agreed.set(fingerprint, { ...agreed, state: QuarantineState.Answered });
  }

  /** Takes what the controllers agreed on; false when newer word is known. */
  take(entry: QuarantineEntry): boolean {
    const known = this.agreed.get(entry.fingerprint);
    if (known !== undefined && known.revision >= entry.revision) return false;
    this.agreed.set(entry.fingerprint, entry);
    if (!isHeldAgainst(entry.state)) this.seen.delete(entry.fingerprint);
    return true;
  }

  /** Whether the controllers know all that this gateway saw of the request. */
  isAllAgreed(fingerprint: string): boolean {
    const seen = this.seen.get(fingerprint);
    if (seen === undefined) return true;
    const { ended = [], endedInTrial = [] } = this.heldAgainst(fingerprint) ?? {};
    return (
      joinReplicas(ended, seen.ended).length === ended.length &&
      joinReplicas(endedInTrial, seen.endedInTrial).length === endedInTrial.length
    );
  }

  count(): QuarantineCounts {
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

  private heldAgainst(fingerprint: string): QuarantineEntry | undefined {
    const agreed = this.agreed.get(fingerprint);
    return agreed !== undefined && isHeldAgainst(agreed.state) ? agreed : undefined;
  }
}
