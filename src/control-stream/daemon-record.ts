/** What controllers know of a daemon, and which of two records is newer. */

/** Told by the daemon to the controller it follows, and passed on between controllers. */
export interface DaemonRecord {
  readonly name: string;
  readonly zone: string;
  readonly version: string;
  /** Of the daemon's process. */
  readonly incarnation: number;
  /** Grows with each report of an incarnation. */
  readonly sequence: number;
  /** In force at the daemon. */
  readonly revision: number;
  /** Member id of the controller that heard the report. */
  readonly controller: string;
  /** The daemon said that it stops. */
  readonly left: boolean;
}

/** Whether `candidate` was given later than `known`, whichever way each arrived. */
export function isNewer(candidate: DaemonRecord, known: DaemonRecord): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.sequence > known.sequence;
}
