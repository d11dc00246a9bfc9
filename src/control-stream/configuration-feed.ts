/** The interface through which the control stream reads a controller's replicated configuration. */
import type { Stream } from '@most/types';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { ConfigurationState } from '../settings/configuration-state.js';

/** Implemented by `ConfigurationStateMachine`. */
export interface ConfigurationFeed {
  current(): ConfigurationState;
  /** Emits each accepted change after `current()` contains it. */
  readonly accepted: Stream<AcceptedChange>;
  /** Emits after a snapshot has replaced the whole state. */
  readonly restored: Stream<number>;
}
