/** The record of a daemon that controllers keep and exchange. */

/** Built from a daemon's report by the controller it follows, and forwarded between controllers. */
export interface DaemonRecord {
  readonly name: string;
  readonly zone: string;
  readonly version: string;
  /** Incarnation of the daemon's process. */
  readonly incarnation: number;
  /** Increases with each report within an incarnation. */
  readonly sequence: number;
  /** Revision in force at the daemon. */
  readonly revision: number;
  /** Member id of the controller that received the report from the daemon. */
  readonly controller: string;
  /** Whether the daemon announced a planned stop. */
  readonly left: boolean;
}

/** Whether the daemon reported `candidate` after `known`, regardless of the order of arrival. */
export function isNewer(candidate: DaemonRecord, known: DaemonRecord): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.sequence > known.sequence;
}
