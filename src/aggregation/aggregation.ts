/**
 * Divides large fan-outs among gateways. As a root, a gateway assigns groups of shards to leaf
 * gateways; as a leaf, it queries the shards of groups that other roots assign to it.
 */
import type { AggregationSettings } from '../configuration/gateway-configuration.js';
import type { LeafGateway } from '../directory/leaf-gateway.js';
import type { CallerRequest } from '../gateway/caller-request.js';
import { FleetShares } from '../gateway/fleet-shares.js';
import type { GatewayContext } from '../gateway/gateway-context.js';
import { OverloadShedding } from '../gateway/overload-shedding.js';
import type { PartListener, PartSource } from '../gateway/part-source.js';
import type { ReplicaTarget } from '../gateway/replica-target.js';
import { ExtraAttemptBudget, type ExtraAttemptLimits } from '../gateway/extra-attempt-budget.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { AuthenticatedListener } from '../protocol/authenticated-listener.js';
import { ConnectionAcceptor, type ConnectionRoutes } from '../protocol/connection-acceptor.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { RouteTable } from '../routes/route-table.js';
import { sleepUntilTick } from '../seams/sleep-until-tick.js';
import { LeafAssignment } from './leaf-assignment.js';
import { GROUP_OWNERS, SAME_ZONE_GROUP_OWNERS, type LeafGroup } from './leaf-group.js';
import { LeafChangeLog } from './leaf-change-log.js';
import { LeafLatencies } from './leaf-latencies.js';
import { LeafPool } from './leaf-pool.js';
import { LeafServer } from './leaf-server.js';
import { SourcePlanner } from './source-planner.js';

/**
 * Leaves per group owner among which a replica's connections and its service's retry budget are
 * shared: the owner, and one more that replaces it or still holds connections from before the
 * groups changed.
 */
const SHARING_LEAVES_PER_OWNER = 2;
/**
 * Groups per root that may be given to a second leaf beside a silent one. Leaves fall silent together
 * in one zone at most, and are then avoided: the reserve covers that zone's groups of one request.
 */
const REPEATED_GATHERS: ExtraAttemptLimits = { ratio: 0.05, slack: 8, windowMs: 10_000 };
/** Interval at which connections to leaves are opened and closed as the groups require. */
const MAINTENANCE_INTERVAL_MS = 250;

/** Dependencies and settings of {@link Aggregation}. */
export interface AggregationOptions {
  readonly context: GatewayContext;
  readonly identity: LocalIdentity;
  /** Zone of this gateway. */
  readonly zone: string;
  readonly settings: AggregationSettings;
  readonly secondSends: ExtraAttemptLimits;
  readonly telemetry: Telemetry;
  readonly leaves: () => readonly LeafGateway[];
  readonly table: () => RouteTable | undefined;
  readonly stopped: AbortSignal;
}

/** Created once per gateway; {@link serve} is called only on a gateway that acts as a leaf. */
export class Aggregation {
  private readonly pool: LeafPool;
  private readonly assignment: LeafAssignment;
  private readonly server: LeafServer;
  private readonly planner: SourcePlanner;
  private listener: AuthenticatedListener | undefined;
  private readonly ownedShardsByGroups = new WeakMap<readonly LeafGroup[], ReadonlySet<string>>();

  constructor(private readonly options: AggregationOptions) {
    const { context, identity, zone, settings, telemetry, leaves, table } = options;
    const { environment, targets } = context;
    const { clock, random } = environment;
    const leafContext = {
      ...context,
      shares: this.createLeafShares(),
      shedding: new OverloadShedding(clock, random),
    };
    const { logger } = telemetry;
    const { traffic } = context;
    this.pool = new LeafPool({ environment, identity, logger, traffic }, random);
    this.assignment = new LeafAssignment({
      now: () => clock.now(),
      targets,
      leaves,
      shardsPerGroup: settings.shardsPerGroup,
      sameZoneAs: settings.nearGroups ? { name: identity.name, zone } : undefined,
    });
    this.server = new LeafServer({
      context: leafContext,
      logger,
      table,
      relay: (request, relayed, listener) => this.planner.relay(request, relayed, listener),
    });
    this.planner = new SourcePlanner({
      rootContext: context,
      leafContext,
      ownName: identity.name,
      pool: this.pool,
      latencies: new LeafLatencies(),
      repeats: new ExtraAttemptBudget(REPEATED_GATHERS, 1, true),
      assignment: this.assignment,
      divideAbove: context.mechanisms.aggregation ? settings.divideAbove : Infinity,
    });
  }

  /** Serves connections of roots, until {@link Aggregation.close}. */
  serve(listener: AuthenticatedListener): void {
    const { context, identity, telemetry } = this.options;
    const { clock } = context.environment;
    const routes: ConnectionRoutes = {
      aggregation: (connection, peer) => this.server.serve(connection, peer),
    };
    listener.serve(new ConnectionAcceptor(clock, identity, routes, telemetry.registry));
    this.listener = listener;
  }

  /** Maintains connections to leaves until the gateway stops. */
  start(): void {
    void this.maintainConnections();
  }

  /** Number of gathers in progress on this gateway for other gateways. */
  get inProgress(): number {
    return this.server.inProgress;
  }

  /** Returns the sources that together query the shards of the request; none of them is started. */
  plan(
    request: CallerRequest,
    shards: readonly string[],
    listener: PartListener,
  ): readonly PartSource[] {
    return this.planner.plan(request, shards, listener);
  }

  /**
   * Whether this gateway queries the service directly, so that warm connections to its replicas pay
   * off.
   */
  queriesDirectly(service: string): boolean {
    const lists = this.options.table()?.shardLists ?? [];
    let isNamed = false;
    for (const list of lists) {
      if (!list.has(service)) continue;
      if (this.isOwner(list.shards, service)) return true;
      isNamed = true;
    }
    // A service in no list may be a shard of the next route document. While no list is divided,
    // this gateway would query it itself.
    return !isNamed && !lists.some(({ shards }) => this.planner.isDivided(shards));
  }

  /**
   * Replicas that this gateway tries first, if it queries their services directly. Where each zone
   * queries its own replicas, it queries those of other zones too rarely to hold connections to all
   * of them.
   */
  *preferredTargets(): IterableIterator<ReplicaTarget> {
    const { context, settings, zone } = this.options;
    const { targets } = context;
    for (const target of targets.all()) {
      const { entry } = target;
      const isInSameZone = (other: ReplicaTarget): boolean => other.entry.zone === zone;
      if (
        !settings.nearGroups ||
        isInSameZone(target) ||
        !targets.of(entry.service).some(isInSameZone)
      ) {
        yield target;
      }
    }
  }

  /** First step of a drain: declines new gathers; those in progress continue. */
  stopAccepting(): void {
    this.server.stop();
  }

  /** Second step of a drain: closes all connections. */
  async close(): Promise<void> {
    this.pool.close();
    await this.listener?.close();
  }

  private isOwner(shards: readonly string[], service: string): boolean {
    if (!this.planner.isDivided(shards)) return true;
    return this.ownedShards(this.assignment.directGroupsOf(shards)).has(service);
  }

  /** Shards of the groups that this gateway owns; cached, as it is needed once per replica. */
  private ownedShards(groups: readonly LeafGroup[]): ReadonlySet<string> {
    const known = this.ownedShardsByGroups.get(groups);
    if (known !== undefined) return known;
    const { name } = this.options.identity;
    const mine = groups.filter(({ leaves, owners }) =>
      leaves.slice(0, owners).some((leaf) => leaf.name === name),
    );
    const shards = new Set(mine.flatMap((group) => group.shards));
    this.ownedShardsByGroups.set(groups, shards);
    return shards;
  }

  private createLeafShares(): FleetShares {
    const { context, secondSends } = this.options;
    const { clock } = context.environment;
    const { youngShares } = context.mechanisms;
    return new FleetShares(clock, secondSends, () => this.sharingLeaves, youngShares);
  }

  /** Where each zone queries its own replicas, the owners of every zone may send to any replica. */
  private get sharingLeaves(): number {
    const { settings, leaves } = this.options;
    if (!settings.nearGroups) return SHARING_LEAVES_PER_OWNER * this.largestOwnerCount;
    const zones = new Set(leaves().map(({ zone }) => zone));
    const queryingZones = new Set<string>();
    for (const { entry } of this.options.context.targets.all()) {
      if (zones.has(entry.zone)) queryingZones.add(entry.zone);
    }
    return SHARING_LEAVES_PER_OWNER * SAME_ZONE_GROUP_OWNERS * Math.max(1, queryingZones.size);
  }

  private get largestOwnerCount(): number {
    return this.dividedGroups().reduce(
      (largest, { owners }) => Math.max(largest, owners),
      GROUP_OWNERS,
    );
  }

  private async maintainConnections(): Promise<void> {
    const { context, stopped, identity, leaves, telemetry } = this.options;
    const { clock } = context.environment;
    const changes = new LeafChangeLog(telemetry.logger, (count) =>
      context.metrics.leaves.set(count),
    );
    while (!stopped.aborted) {
      changes.update(leaves());
      this.pool.updateConnections(
        this.dividedGroups().map((group) => ({
          ...group,
          leaves: group.leaves.filter(({ name }) => name !== identity.name),
        })),
      );
      await sleepUntilTick(clock, MAINTENANCE_INTERVAL_MS, stopped).catch(() => undefined);
    }
  }

  private dividedGroups(): readonly LeafGroup[] {
    const lists = this.options.table()?.shardLists ?? [];
    return lists
      .filter(({ shards }) => this.planner.isDivided(shards))
      .flatMap(({ shards }) => this.assignment.groupsOf(shards));
  }
}
