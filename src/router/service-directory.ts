/** The services of the configuration in force, ready to be queried. */
import type { ReplicaRegistry } from '../membership/replica-registry.js';
import type { ReplicaDefinition } from '../model/service-definition.js';
import { createServicePolicies, type ServicePolicies } from '../policies/service-policies.js';
import type { Environment } from '../seams/environment.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import { effectiveSettings } from '../settings/effective-settings.js';
import type { ServiceSettings } from '../settings/service-settings.js';
import { ServiceRuntime } from './service-runtime.js';

/** Keeps one {@link ServiceRuntime} for each service, of the newest revision. */
export class ServiceDirectory {
  private runtimes = new Map<string, ServiceRuntime>();
  private currentRevision: number | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly registry: ReplicaRegistry,
    private readonly zone: string,
  ) {}

  /** Undefined before the first configuration. */
  get revision(): number | undefined {
    return this.currentRevision;
  }

  get(service: string): ServiceRuntime | undefined {
    return this.runtimes.get(service);
  }

  /** Puts a revision in force; an earlier one than the present is ignored. */
  apply(state: ConfigurationState): void {
    if (this.currentRevision !== undefined && state.revision <= this.currentRevision) return;
    this.currentRevision = state.revision;
    this.registry.synchronize(replicasOf(state));
    const next = new Map<string, ServiceRuntime>();
    for (const definition of Object.values(state.services)) {
      const settings = effectiveSettings(state, definition.name, this.zone);
      const policies = this.reuseOrCreatePolicies(definition.name, settings);
      const { registry } = this;
      next.set(
        definition.name,
        new ServiceRuntime(state.revision, definition, settings, policies, registry),
      );
    }
    this.runtimes = next;
  }

  /** The policies in use when the settings are the same, since they have learned; else new ones. */
  private reuseOrCreatePolicies(service: string, settings: ServiceSettings): ServicePolicies {
    const current = this.runtimes.get(service);
    if (current !== undefined && settingsEqual(current.settings, settings)) return current.policies;
    const { clock, random } = this.environment;
    return createServicePolicies(settings, { clock, random });
  }
}

function settingsEqual(left: ServiceSettings, right: ServiceSettings): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/** Every replica of every layout, each once. */
function replicasOf(state: ConfigurationState): Map<string, ReplicaDefinition> {
  const replicas = new Map<string, ReplicaDefinition>();
  for (const { layouts } of Object.values(state.services)) {
    for (const { shards } of layouts) {
      for (const shard of shards) {
        for (const replica of shard.replicas) replicas.set(replica.replicaId, replica);
      }
    }
  }
  return replicas;
}
