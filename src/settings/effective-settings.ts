/** The settings of a service as they hold in one zone. */
import type { ConfigurationState } from './configuration-state.js';
import { formatScope, type Scope } from './scope.js';
import { DEFAULT_SERVICE_SETTINGS, type ServiceSettings } from './service-settings.js';

/** The levels that bear on a service in a zone, widest first; a later one wins per key. */
export function scopesOf(state: ConfigurationState, service: string, zone: string): Scope[] {
  const region = state.services[service]?.region;
  const scopes: Scope[] = [{ level: 'defaults' }];
  if (region !== undefined) scopes.push({ level: 'region', region });
  scopes.push({ level: 'zone', zone });
  scopes.push({ level: 'service', service });
  return scopes;
}

/** The built-in defaults under the overrides of `scopes`, of which a later one wins per key. */
export function settingsAt(state: ConfigurationState, scopes: readonly Scope[]): ServiceSettings {
  const overrides = scopes.map((scope) => state.overrides[formatScope(scope)] ?? {});
  return Object.assign({}, DEFAULT_SERVICE_SETTINGS, ...overrides) as ServiceSettings;
}

/** Every key's value in force for `service` in `zone`. */
export function effectiveSettings(
  state: ConfigurationState,
  service: string,
  zone: string,
): ServiceSettings {
  return settingsAt(state, scopesOf(state, service, zone));
}
