/** A configuration that never changes, for runs without controllers. */
import { never } from '@most/core';
import type { Stream } from '@most/types';
import type { LivenessReport } from '../../src/model/liveness-report.js';
import type {
  ConfigurationFreshness,
  ConfigurationSource,
} from '../../src/settings/configuration-source.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';

/** {@link ConfigurationSource} that is always fresh. */
export class FixedConfigurationSource implements ConfigurationSource {
  readonly revisions: Stream<ConfigurationState> = never();
  readonly livenessReports: Stream<LivenessReport> = never();

  constructor(private readonly state: ConfigurationState) {}

  current(): ConfigurationState {
    return this.state;
  }

  freshness(): ConfigurationFreshness {
    return { fresh: true, committedRevision: this.state.revision };
  }

  reportReplicaState(): void {
    // Nobody else follows this source.
  }

  async close(): Promise<void> {
    // Holds nothing.
  }
}
