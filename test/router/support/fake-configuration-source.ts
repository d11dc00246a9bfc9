/** A configuration source whose revisions, liveness reports and freshness a test sets. */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { LivenessReport } from '../../../src/model/liveness-report.js';
import type {
  ConfigurationFreshness,
  ConfigurationSource,
} from '../../../src/settings/configuration-source.js';
import type { ConfigurationState } from '../../../src/settings/configuration-state.js';

export class FakeConfigurationSource implements ConfigurationSource {
  readonly revisions: Stream<ConfigurationState>;
  readonly livenessReports: Stream<LivenessReport>;
  readonly publish: (state: ConfigurationState) => void;
  readonly publishLivenessReport: (report: LivenessReport) => void;
  readonly reported: LivenessReport[] = [];
  fresh = true;

  constructor(private state: ConfigurationState | undefined) {
    const [publish, revisions] = createAdapter<ConfigurationState>();
    this.revisions = revisions;
    this.publish = (next) => {
      this.state = next;
      publish(next);
    };
    [this.publishLivenessReport, this.livenessReports] = createAdapter<LivenessReport>();
  }

  current(): ConfigurationState | undefined {
    return this.state;
  }

  freshness(): ConfigurationFreshness {
    return { fresh: this.fresh, committedRevision: this.state?.revision ?? 0 };
  }

  reportReplicaState(report: LivenessReport): void {
    this.reported.push(report);
  }

  async close(): Promise<void> {}
}
