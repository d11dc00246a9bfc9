/** How a daemon learns the configuration: a stream of revisions, newest held. */
import type { Stream } from '@most/types';
import type { LivenessReport } from '../model/liveness-report.js';
import type { ConfigurationState } from './configuration-state.js';

/** How far the held configuration can be trusted. */
export interface ConfigurationFreshness {
  /** True while the source has proven within the lease that it heard a quorum. */
  readonly fresh: boolean;
  /** Highest revision known to be committed anywhere. */
  readonly committedRevision: number;
}

/** The daemon's side of the control stream. */
export interface ConfigurationSource {
  /** The revision in force here; undefined before the first one arrived. */
  current(): ConfigurationState | undefined;
  freshness(): ConfigurationFreshness;
  /** Every later revision, in order, each higher than the one before. */
  readonly revisions: Stream<ConfigurationState>;
  /** Liveness reports on replicas from other daemons of the zone and from the platform list. */
  readonly livenessReports: Stream<LivenessReport>;
  /** Tells the other daemons of the zone. Best effort; a state whose report is lost is observed again. */
  reportReplicaState(report: LivenessReport): void;
  /** Leaves the source politely. */
  close(): Promise<void>;
}
