/**
 * Defects that tests enable to verify that their checks detect them. They can
 * be set from code only, never by a settings file, a flag or a message.
 */
export interface ControlStreamFaults {
  /** A daemon applies whatever revision its source holds, including lower ones. */
  readonly applyLowerRevision?: boolean;
  /** A daemon never leaves a source that is silent, behind or without a quorum. */
  readonly neverLeave?: boolean;
  /** A daemon does not prefer the controllers of its own zone. */
  readonly ignoreZone?: boolean;
  /** A controller declares itself proven fresh without a read barrier. */
  readonly skipFreshnessProof?: boolean;
  /** A controller counts as fresh while it has not applied what it knows to be committed. */
  readonly ignoreApplyLag?: boolean;
  /** A controller removes a daemon as soon as the daemon's lease expires. */
  readonly forgetSilentDaemons?: boolean;
  /** A controller does not forward daemon records and liveness reports to other controllers. */
  readonly withholdReports?: boolean;
  /** Controllers and daemons accept liveness reports that do not supersede the known one. */
  readonly acceptOlderSigns?: boolean;
}

export const NO_CONTROL_STREAM_FAULTS: ControlStreamFaults = {};
