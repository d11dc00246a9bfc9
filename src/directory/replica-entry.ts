/** What a replica says of itself when it registers. */

/** States of a replica's life; a replica never goes back to an earlier one. */
export enum RegisteredState {
  Ready = 'ready',
  /** Finishes what it has and gets no new work. */
  Draining = 'draining',
  /** It has left; its address may be given to another replica. */
  Gone = 'gone',
}

const STATE_ORDER: Readonly<Record<RegisteredState, number>> = {
  [RegisteredState.Ready]: 0,
  [RegisteredState.Draining]: 1,
  [RegisteredState.Gone]: 2,
};

/** One life of a replica: a process of a service from its start to its end. */
export interface ReplicaEntry {
  readonly replicaId: string;
  readonly service: string;
  /** `host:port` of its HTTP endpoint. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it works on at once. */
  readonly capacity: number;
  readonly state: RegisteredState;
  /** Grows with each of the replica's calls in this life, so that a late one can be told. */
  readonly sequence: number;
  /** How much longer it is slow from its start, when `sequence` was current. Milliseconds. */
  readonly warmupMs: number;
  /**
   * When the process started, by the clock of its machine, which tells this life from others under
   * the same id. Unix milliseconds; absent where replicas do not say it.
   */
  readonly bornAt?: number;
  /**
   * Raised by a controller where a life began before the one that is known by its own clock, as
   * after a clock was set back, so that it counts as the later one everywhere. 0 when absent.
   */
  readonly generation?: number;
  /** Read back from a controller's disk after a start, and not heard of since. */
  readonly restored?: boolean;
}

/** Whether `text`, as received, names a state. */
export function isRegisteredState(text: string): text is RegisteredState {
  return Object.hasOwn(STATE_ORDER, text);
}

/**
 * Negative where `left` is of an earlier life than `right`, positive where it is of a later one.
 * A report that does not say when its life began is of the one that it is compared with. The
 * generation does not tell lives apart: who hears that a life leaves may not know that it was raised.
 */
export function compareIncarnations(left: ReplicaEntry, right: ReplicaEntry): number {
  if (left.bornAt === undefined || right.bornAt === undefined) return 0;
  if (left.bornAt === right.bornAt) return 0;
  const generations = (left.generation ?? 0) - (right.generation ?? 0);
  return generations === 0 ? left.bornAt - right.bornAt : generations;
}

/** Names one life of a replica, unlike its id. */
export function incarnationIdOf({ replicaId, bornAt }: ReplicaEntry): string {
  return bornAt === undefined ? replicaId : `${replicaId}@${bornAt}`;
}

/**
 * Joins two reports of one replica. A later life takes the place of an
 * earlier one whole. In one life the later state holds, and the rest comes from the report with
 * the higher sequence; an entry stays restored only while all reports of it are. Gives back
 * `known` itself when `report` adds nothing.
 */
export function mergeReports(known: ReplicaEntry, report: ReplicaEntry): ReplicaEntry {
  const order = compareIncarnations(report, known);
  if (order !== 0) return order > 0 ? report : known;
  return mergeSameIncarnation(known, report);
}

function mergeSameIncarnation(known: ReplicaEntry, report: ReplicaEntry): ReplicaEntry {
  const state = STATE_ORDER[report.state] > STATE_ORDER[known.state] ? report.state : known.state;
  const restored = known.restored === true && report.restored === true;
  const isNewer = report.sequence > known.sequence;
  const isConfirmed = known.restored === true && !restored;
  const bornAt = known.bornAt ?? report.bornAt;
  const generation = Math.max(known.generation ?? 0, report.generation ?? 0);
  const changesIncarnation = bornAt !== known.bornAt || generation !== (known.generation ?? 0);
  if (!isNewer && !isConfirmed && !changesIncarnation && state === known.state) return known;
  const merged = { ...(isNewer ? report : known), state, restored };
  return bornAt === undefined ? merged : { ...merged, bornAt, generation };
}
