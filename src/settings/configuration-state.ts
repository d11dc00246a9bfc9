/**
 * The whole agreed configuration at one revision. Controllers hold it as the
 * state of the replicated log; daemons hold a copy and apply the same changes.
 * Plain data, so that it can be written as JSON.
 */
import type { ServiceDefinition } from '../model/service-definition.js';
import type { SettingsOverride } from './service-settings.js';

/** A region and the zones within it. */
export interface RegionDefinition {
  readonly name: string;
  readonly zones: readonly string[];
}

/** One revision of the configuration. Treated as immutable: a change makes a new one. */
export interface ConfigurationState {
  /** Number of changes accepted so far; 0 before the first. */
  readonly revision: number;
  readonly regions: Readonly<Record<string, RegionDefinition>>;
  readonly services: Readonly<Record<string, ServiceDefinition>>;
  /** Overrides by scope, in the form {@link formatScope} writes. */
  readonly overrides: Readonly<Record<string, SettingsOverride>>;
}

export const EMPTY_CONFIGURATION: ConfigurationState = {
  revision: 0,
  regions: {},
  services: {},
  overrides: {},
};
