/** How the simulated members of a test run. */
import type { RaftFaults } from '../../../src/consensus/raft-faults.js';
import type { RaftLimits, RaftTimings } from '../../../src/consensus/raft-timings.js';
import type { ApplyListener, HistoryMachine } from './history-machine.js';

export interface ClusterOptions {
  readonly faults?: RaftFaults;
  readonly limits?: Partial<RaftLimits>;
  readonly timings?: Partial<RaftTimings>;
  /** Timings of single members. */
  readonly timingsOf?: Readonly<Record<string, Partial<RaftTimings>>>;
  /** Zones of machines; each has one of its own by default. */
  readonly zoneOf?: Readonly<Record<string, string>>;
  /** Makes the state machine of each process. */
  readonly createState?: (onApply: ApplyListener) => HistoryMachine;
  /** Requests are duplicated and reordered. */
  readonly shuffle?: boolean;
}

export interface StartOptions {
  readonly join?: boolean;
  /** False starts on an empty disk. */
  readonly keepDisk?: boolean;
  /** What the settings file says of the group's begin; the cluster's own ids by default. */
  readonly initialIds?: readonly string[];
  /** The start is killed in this write. */
  readonly crashAt?: number;
  /** The start fails when it takes longer. Milliseconds. */
  readonly limit?: number;
}
