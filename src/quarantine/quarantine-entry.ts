/** The evidence about a request with which replicas terminated, and the state that follows from it. */

/**
 * Replicas that must terminate with a request, over all gateways, before all gateways suspect it.
 * A terminating replica has many requests in flight, and few of them lose further replicas.
 */
const TERMINATIONS_TO_SUSPECT = 3;
/**
 * Replicas that must terminate in trials of a suspected request before it is quarantined. A trial
 * is the only attempt of its request in flight at a gateway. One replica may terminate by
 * coincidence during a trial; a second coincidence is very unlikely.
 */
const TRIAL_TERMINATIONS_TO_QUARANTINE = 2;

/** Replica ids kept per request; further ones do not change its state. */
const MAXIMUM_REPLICAS_PER_ENTRY = 8;
const MAXIMUM_REPLICA_ID_LENGTH = 64;
const MAXIMUM_DESCRIPTION_LENGTH = 160;
export const MAXIMUM_FINGERPRINT_LENGTH = 64;

/** Most requests whose evidence a controller or a gateway keeps. */
export const MAXIMUM_ENTRIES = 1_024;

/** The state of a request under the evidence about it. */
export enum QuarantineState {
  /** Too few replicas terminated with the request to suspect it. */
  Observed = 'observed',
  /** The request is sent in trials only, to one replica at a time. */
  Suspected = 'suspected',
  /** Every gateway refuses the request at once. */
  Quarantined = 'quarantined',
  /** A replica answered the request, so the replicas terminated for another reason. */
  Answered = 'answered',
  /** An operator lifted the quarantine or the suspicion, so the request is sent as any other. */
  Lifted = 'lifted',
}

/** The replicas that terminated with a request in flight. */
export interface CrashEvidence {
  /** Identifies the request; computed by `fingerprintOf`. */
  readonly fingerprint: string;
  /** Method, host and path, for operators. */
  readonly description: string;
  /** Ids of the replicas that terminated, or may have. */
  readonly ended: readonly string[];
  /** Those of `ended` that terminated in a trial of the suspected request. */
  readonly endedInTrial: readonly string[];
}

/** The replicated evidence and state of a request. */
export interface QuarantineEntry extends CrashEvidence {
  readonly state: QuarantineState;
  /** Holder of the grant to run a trial of the request; empty while there is none. */
  readonly trialHolder: string;
  /** Increases with each change of any entry; of two versions of an entry the higher revision is newer. */
  readonly revision: number;
}

/** The state of a request with `ended` terminated replicas, `endedInTrial` of them in trials. */
export function stateFor(ended: number, endedInTrial: number): QuarantineState {
  if (ended < TERMINATIONS_TO_SUSPECT && endedInTrial === 0) return QuarantineState.Observed;
  const isCause =
    ended >= TERMINATIONS_TO_SUSPECT && endedInTrial >= TRIAL_TERMINATIONS_TO_QUARANTINE;
  return isCause ? QuarantineState.Quarantined : QuarantineState.Suspected;
}

/** Like {@link stateFor} where trials are switched off: quarantines a request that would be suspected. */
export function stateWithoutTrials(ended: number): QuarantineState {
  return ended < TERMINATIONS_TO_SUSPECT ? QuarantineState.Observed : QuarantineState.Quarantined;
}

/** Whether the evidence of an entry in this state counts against its request. */
export function isActiveState(state: QuarantineState): boolean {
  return state !== QuarantineState.Answered && state !== QuarantineState.Lifted;
}

/** The distinct ids of both lists, bounded in number; each id of `further` is also bounded in length. */
export function mergeReplicaIds(known: readonly string[], further: readonly string[]): string[] {
  const ids = further.map((id) => id.slice(0, MAXIMUM_REPLICA_ID_LENGTH));
  return [...new Set([...known, ...ids])].slice(0, MAXIMUM_REPLICAS_PER_ENTRY);
}

/** The request's description for operators, without its query string, which may hold private data. */
export function describeRequest(method: string, host: string, target: string): string {
  const [path = ''] = target.split('?', 1);
  return `${method} ${host}${path}`.slice(0, MAXIMUM_DESCRIPTION_LENGTH);
}
