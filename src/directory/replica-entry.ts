/** The entry that a replica registers, and how reports of one replica are ordered and merged. */

/** States of one incarnation of a replica, in order; it never returns to an earlier one. */
export enum RegisteredState {
  Ready = 'ready',
  /** Finishes its requests and receives no new ones. */
  Draining = 'draining',
  /** Has left; its address may be reused by another replica. */
  Gone = 'gone',
}

const STATE_ORDER: Readonly<Record<RegisteredState, number>> = {
  [RegisteredState.Ready]: 0,
  [RegisteredState.Draining]: 1,
  [RegisteredState.Gone]: 2,
};

/** One incarnation of a replica: a process of a service from its start to its end. */
export interface ReplicaEntry {
  readonly replicaId: string;
  readonly service: string;
  /** `host:port` of its HTTP endpoint. */
  readonly address: string;
  readonly zone: string;
  /** Requests that the replica processes concurrently. */
  readonly capacity: number;
  readonly state: RegisteredState;
  /** Grows with each report of this incarnation, so that a late report is recognized. */
  readonly sequence: number;
  /** Remaining time of the slow phase after a start, at the report with `sequence`. Milliseconds. */
  readonly warmupMs: number;
  /**
   * When the process started, by the clock of its machine; distinguishes incarnations with the same
   * id. Unix milliseconds; absent if the replica does not report it.
   */
  readonly bornAt?: number;
  /**
   * Raised by a controller if a new incarnation began before the known one by its own clock, as after
   * the clock was set back, so that every process treats it as the later one. 0 when absent.
   */
  readonly generation?: number;
  /** Restored from a controller's disk after a start, with no report or heartbeat since. */
  readonly restored?: boolean;
}

/** Whether `text`, as received, is a state known to this version. */
export function isRegisteredState(text: string): text is RegisteredState {
  return Object.hasOwn(STATE_ORDER, text);
}

/**
 * Returns a negative number if `left` is of an earlier incarnation than `right`, a positive number if
 * it is of a later one, and 0 if they are the same. A report without a start time counts as the same
 * incarnation as the other one. Entries that differ only in generation are the same incarnation: a
 * controller that receives the report of its leaving may not know that the generation was raised.
 */
export function compareIncarnations(left: ReplicaEntry, right: ReplicaEntry): number {
  if (left.bornAt === undefined || right.bornAt === undefined) return 0;
  if (left.bornAt === right.bornAt) return 0;
  const generations = (left.generation ?? 0) - (right.generation ?? 0);
  return generations === 0 ? left.bornAt - right.bornAt : generations;
}

/** Returns an id that, unlike the replica's id, is unique to one incarnation if its start is known. */
export function incarnationIdOf({ replicaId, bornAt }: ReplicaEntry): string {
  return bornAt === undefined ? replicaId : `${replicaId}@${bornAt}`;
}

/**
 * Merges two reports of one replica. A later incarnation replaces an earlier one entirely. Within one
 * incarnation the later state wins and the other fields come from the report with the higher
 * sequence; an entry stays restored only while all its reports are. Returns `known` itself if
 * `report` adds nothing.
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
