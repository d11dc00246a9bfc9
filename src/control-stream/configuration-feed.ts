/** What the control stream needs of the replicated configuration at one controller. */
import type { Stream } from '@most/types';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { ConfigurationState } from '../settings/configuration-state.js';

/** `ConfigurationStateMachine` is one. */
export interface ConfigurationFeed {
  current(): ConfigurationState;
  /** Each change, once `current()` contains it. */
  readonly accepted: Stream<AcceptedChange>;
  /** Emits after a snapshot replaced the whole state. */
  readonly restored: Stream<number>;
}
