/** What must hold of the whole configuration before a change is accepted. */
import { ChangeRejectedError } from './change-rejected-error.js';
import type { ConfigurationState } from './configuration-state.js';
import { effectiveSettings, settingsAt } from './effective-settings.js';
import { lookUp } from './look-up.js';
import { parseScope, type Scope } from './scope.js';
import type { ServiceSettings } from './service-settings.js';
import { settingsProblem } from './settings-rules.js';
import { validateService } from './validate-service.js';

function validateZones(state: ConfigurationState): Set<string> {
  const zones = new Set<string>();
  for (const region of Object.values(state.regions)) {
    for (const zone of region.zones) {
      if (zones.has(zone)) {
        throw new ChangeRejectedError(`regions.${region.name}`, `zone ${zone} exists already`);
      }
      zones.add(zone);
    }
  }
  return zones;
}

/** Whether the tree has the node that `text` names. */
export function hasScope(state: ConfigurationState, text: string): boolean {
  const scope = parseScope(text);
  switch (scope?.level) {
    case undefined:
      return false;
    case 'defaults':
      return true;
    case 'region':
      return lookUp(state.regions, scope.region) !== undefined;
    case 'zone':
      return Object.values(state.regions).some(({ zones }) => zones.includes(scope.zone));
    case 'service':
      return lookUp(state.services, scope.service) !== undefined;
  }
}

function validateScope(state: ConfigurationState, text: string): void {
  if (hasScope(state, text)) return;
  throw new ChangeRejectedError(`overrides.${text}`, 'there is no such scope');
}

/** Liveness reports name a replica alone, so one name must not stand for two processes. */
function validateReplicaNames(state: ConfigurationState): void {
  const owners = new Map<string, string>();
  for (const service of Object.values(state.services)) {
    for (const layout of service.layouts) {
      for (const { replicaId } of layout.shards.flatMap((shard) => shard.replicas)) {
        const owner = owners.get(replicaId) ?? service.name;
        if (owner !== service.name) {
          const reason = `replica ${replicaId} belongs to ${owner} already`;
          throw new ChangeRejectedError(`services.${service.name}`, reason);
        }
        owners.set(replicaId, owner);
      }
    }
  }
}

function requireValid(path: string, settings: ServiceSettings): void {
  const problem = settingsProblem(settings);
  if (problem !== undefined) throw new ChangeRejectedError(path, problem);
}

/** Every zone, as a service without overrides would find it there. */
function validateZoneSettings(state: ConfigurationState): void {
  for (const { name: region, zones } of Object.values(state.regions)) {
    for (const zone of zones) {
      const scopes: Scope[] = [
        { level: 'defaults' },
        { level: 'region', region },
        { level: 'zone', zone },
      ];
      requireValid(`zone ${zone}`, settingsAt(state, scopes));
    }
  }
}

/** Every service in every zone. */
function validateEffectiveSettings(state: ConfigurationState, zones: Set<string>): void {
  for (const service of Object.keys(state.services)) {
    for (const zone of zones) {
      const settings = effectiveSettings(state, service, zone);
      requireValid(`services.${service} in zone ${zone}`, settings);
    }
  }
}

/**
 * Checks the whole tree.
 *
 * @throws ChangeRejectedError naming the first thing that is wrong.
 */
export function validateConfiguration(state: ConfigurationState): void {
  const zones = validateZones(state);
  for (const scope of Object.keys(state.overrides)) validateScope(state, scope);
  for (const service of Object.values(state.services)) validateService(state, service);
  validateReplicaNames(state);
  requireValid('defaults', settingsAt(state, [{ level: 'defaults' }]));
  validateZoneSettings(state);
  validateEffectiveSettings(state, zones);
}
