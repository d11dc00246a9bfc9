/** Which daemons have put which revision in force. Implemented by the control stream. */

/** One daemon known to the controllers. */
export interface DaemonRevision {
  readonly name: string;
  /** Highest revision it has reported in force. */
  readonly revision: number;
  readonly zone?: string;
  readonly version?: string;
  /** Since it was last heard of. Milliseconds. */
  readonly silentMs?: number;
}

/** What is known of the daemons. */
export interface ForceReport {
  readonly daemons: readonly DaemonRevision[];
}

export interface ForceTracker {
  /** Every known daemon; those below `revision` have not put it in force yet. */
  inForce(revision: number): ForceReport;
}
