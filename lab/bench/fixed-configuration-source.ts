/** A configuration that never changes, for runs without controllers. */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { ReplicaSign } from '../../src/model/replica-sign.js';
import type {
  ConfigurationFreshness,
  ConfigurationSource,
} from '../../src/settings/configuration-source.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';

/** Holds one revision, always fresh. */
export class FixedConfigurationSource implements ConfigurationSource {
  readonly revisions: Stream<ConfigurationState>;
  readonly replicaSigns: Stream<ReplicaSign>;

  constructor(private readonly state: ConfigurationState) {
    [, this.revisions] = createAdapter<ConfigurationState>();
    [, this.replicaSigns] = createAdapter<ReplicaSign>();
  }

  current(): ConfigurationState {
    return this.state;
  }

  freshness(): ConfigurationFreshness {
    return { fresh: true, committedRevision: this.state.revision };
  }

  reportReplicaSign(): void {}

  async close(): Promise<void> {}
}
