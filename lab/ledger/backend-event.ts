/** Changes in the life of a stand-in back end, as noted in its ledger. */

export type BackendEventKind = 'started' | 'draining' | 'crashed' | 'stopped';

/** One change. `at` is wall-clock milliseconds. */
export interface BackendEvent {
  readonly replicaId: string;
  readonly incarnation: number;
  readonly kind: BackendEventKind;
  readonly at: number;
}
