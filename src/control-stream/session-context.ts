/** What the sessions of one daemon share. */
import type { LocalIdentity } from '../protocol/handshake.js';
import type { Environment } from '../seams/environment.js';
import type { ClientMetrics } from './client-metrics.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import type { DaemonState } from './daemon-state.js';

/** One for each daemon. */
export interface SessionContext {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly zone: string;
  /** Of the software. */
  readonly version: string;
  readonly daemonState: DaemonState;
  readonly metrics: ClientMetrics;
  readonly faults: ControlStreamFaults;
  /** Of this process; raised when an earlier process of the name showed a larger one. */
  incarnation: number;
  /** Counts reports over all sessions. */
  reportSequence: number;
}
