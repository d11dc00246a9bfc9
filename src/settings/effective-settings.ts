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

/** Every key's value in force for `service` in `zone`. */
export function effectiveSettings(
  state: ConfigurationState,
  service: string,
  zone: string,
): ServiceSettings {
  const overrides = scopesOf(state, service, zone).map(
    (scope) => state.overrides[formatScope(scope)] ?? {},
  );
  return Object.assign({}, DEFAULT_SERVICE_SETTINGS, ...overrides) as ServiceSettings;
}
