/**
 * Defects that tests switch on to see their checks fail. Set from code only: no
 * settings file, flag or message reaches them.
 */
export interface ControlStreamFaults {
  /** A daemon puts in force whatever its source holds, lower revisions too. */
  readonly applyLowerRevision?: boolean;
  /** A daemon stays with its source whatever it sees of it. */
  readonly neverLeave?: boolean;
  /** A daemon prefers no zone. */
  readonly ignoreZone?: boolean;
  /** A controller calls itself proven fresh without asking a quorum. */
  readonly skipFreshnessProof?: boolean;
  /** A controller counts as fresh while it lacks what it knows to be committed. */
  readonly ignoreApplyLag?: boolean;
  /** A controller forgets a daemon as soon as it is silent. */
  readonly forgetSilentDaemons?: boolean;
  /** A controller keeps to itself what daemons told it. */
  readonly withholdReports?: boolean;
  /** Controllers and daemons take over signs of earlier incarnations. */
  readonly acceptOlderSigns?: boolean;
}

export const NO_CONTROL_STREAM_FAULTS: ControlStreamFaults = {};
