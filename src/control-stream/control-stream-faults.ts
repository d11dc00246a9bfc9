/**
 * Defects that the simulator switches on to show that its checks find them.
 * Set from code only: no settings file, flag or message reaches them.
 */
export interface ControlStreamFaults {
  /** The daemon puts in force whatever its source holds, lower revisions too. */
  readonly applyLowerRevision: boolean;
}

export const NO_CONTROL_STREAM_FAULTS: ControlStreamFaults = { applyLowerRevision: false };
