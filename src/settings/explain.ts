/** Where each value in force comes from. */
import type { ConfigurationState } from './configuration-state.js';
import { scopesOf } from './effective-settings.js';
import { formatScope } from './scope.js';
import {
  DEFAULT_SERVICE_SETTINGS,
  serviceSettingsSchema,
  type ServiceSettingKey,
} from './service-settings.js';

/** Named as the source of a value that no level sets. */
export const BUILT_IN = 'built-in';

/** A value that one level gives to a key. */
export interface LevelValue {
  /** `built-in`, or a scope in the form that `formatScope` writes. */
  readonly level: string;
  readonly value: string | number;
}

/** One key of a service in a zone. */
export interface ExplainedSetting {
  readonly key: ServiceSettingKey;
  readonly value: string | number;
  /** The level that the value came from. */
  readonly level: string;
  /** What wider levels say and this one hides, nearest first. */
  readonly hidden: readonly LevelValue[];
}

/** Every key in force for `service` in `zone`, in the order of the schema. */
export function explainSettings(
  state: ConfigurationState,
  service: string,
  zone: string,
): ExplainedSetting[] {
  const scopes = scopesOf(state, service, zone).map(formatScope).reverse();
  return serviceSettingsSchema.keyof().options.map((key) => {
    const values: LevelValue[] = [];
    for (const level of scopes) {
      const value = state.overrides[level]?.[key];
      if (value !== undefined) values.push({ level, value });
    }
    const builtIn = { level: BUILT_IN, value: DEFAULT_SERVICE_SETTINGS[key] };
    const [winner = builtIn, ...hidden] = [...values, builtIn];
    return { key, ...winner, hidden };
  });
}
