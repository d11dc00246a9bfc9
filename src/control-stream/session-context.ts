/** Identity, state and services that all sessions of one daemon share. */
import type { LocalIdentity } from '../protocol/handshake.js';
import type { Environment } from '../seams/environment.js';
import type { ClientMetrics } from './client-metrics.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import type { DaemonState } from './daemon-state.js';

/** Created once by the daemon's client. */
export interface SessionContext {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly zone: string;
  /** Version of the daemon's software. */
  readonly version: string;
  readonly daemonState: DaemonState;
  readonly metrics: ClientMetrics;
  readonly faults: ControlStreamFaults;
  /**
   * Incarnation of this process; raised when another process of the same name
   * has reported a larger one.
   */
  incarnation: number;
  /** Sequence number of the latest revision report, counted over all sessions. */
  reportSequence: number;
}
