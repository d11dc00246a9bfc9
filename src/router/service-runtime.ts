/** One service at one configuration revision. Immutable: a query keeps it until its end. */
import type { ReplicaRegistry } from '../membership/replica-registry.js';
import type { ServiceDefinition } from '../model/service-definition.js';
import type { ServicePolicies } from '../policies/service-policies.js';
import type { ServiceSettings } from '../settings/service-settings.js';
import { createLayoutView, type LayoutView } from './layout-view.js';
import { SnapshotPlanner } from './snapshot-planner.js';

/** Definition, effective settings, policies and layouts of one service at one revision. */
export class ServiceRuntime {
  readonly layouts: readonly LayoutView[];
  readonly planner: SnapshotPlanner;

  constructor(
    readonly revision: number,
    readonly definition: ServiceDefinition,
    readonly settings: ServiceSettings,
    readonly policies: ServicePolicies,
    registry: ReplicaRegistry,
  ) {
    this.layouts = definition.layouts.map((layout) => createLayoutView(layout, registry));
    this.planner = new SnapshotPlanner(this.layouts, registry);
  }
}
