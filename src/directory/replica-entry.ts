/** What a replica says of itself when it registers. */

/** States of a replica's life; a replica never goes back to an earlier one. */
export enum RegisteredState {
  Ready = 'ready',
  /** Finishes what it has and gets no new work. */
  Draining = 'draining',
  /** It has left; its address may be given to another replica. */
  Gone = 'gone',
}

const RANKS: Readonly<Record<RegisteredState, number>> = {
  [RegisteredState.Ready]: 0,
  [RegisteredState.Draining]: 1,
  [RegisteredState.Gone]: 2,
};

/** One process of a service; a process that starts again has another id. */
export interface ReplicaEntry {
  readonly replicaId: string;
  readonly service: string;
  /** `host:port` of its HTTP endpoint. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it works on at once. */
  readonly capacity: number;
  readonly state: RegisteredState;
  /** Grows with each of the replica's calls, so that a late one can be told. */
  readonly sequence: number;
  /** How much longer it is slow from its start, when `sequence` was current. Milliseconds. */
  readonly warmupMs: number;
  /** Read back from a controller's disk after a start, and not heard of since. */
  readonly restored?: boolean;
}

/** Whether `text`, as received, names a state. */
export function isRegisteredState(text: string): text is RegisteredState {
  return Object.hasOwn(RANKS, text);
}

/**
 * Joins two reports of one replica: the later state of its life holds whatever
 * their order, the rest comes from the report with the higher sequence. An entry
 * stays restored only while all reports of it are. Gives back `known` itself
 * when `report` adds nothing.
 */
export function joinReports(known: ReplicaEntry, report: ReplicaEntry): ReplicaEntry {
  const state = RANKS[report.state] > RANKS[known.state] ? report.state : known.state;
  const restored = known.restored === true && report.restored === true;
  const isNewer = report.sequence > known.sequence;
  const isConfirmed = known.restored === true && !restored;
  if (!isNewer && !isConfirmed && state === known.state) return known;
  return { ...(isNewer ? report : known), state, restored };
}
