/**
 * Decides which gateways query the shards of a request: this gateway queries all of them, or
 * leaves query them in groups when there are so many that sending all requests one after another
 * from this gateway would take too long.
 */
import type { CallerRequest } from '../gateway/caller-request.js';
import type { PartListener, PartSource } from '../gateway/part-source.js';
import { ShardGather } from '../gateway/shard-gather.js';
import { encodeRequest } from './encode-request.js';
import { GroupGather, type GroupGatherContext } from './group-gather.js';
import type { LeafAssignment } from './leaf-assignment.js';
import type { LeafGroup } from './leaf-group.js';
import type { LeafSource } from './leaf-source.js';
import { RelayedGather } from './relayed-gather.js';

/** Dependencies and settings of {@link SourcePlanner}. */
export interface SourcePlannerOptions extends GroupGatherContext {
  readonly assignment: LeafAssignment;
  /** Requests to more shards than this are divided; Infinity divides none. */
  readonly divideAbove: number;
}

/** Terms under which a relay has the shards queried. */
export interface RelayedCall {
  readonly shards: readonly string[];
  readonly totalShards: number;
  /** The caller's request as an encoded `RequestMessage`. */
  readonly encodedRequest: Uint8Array;
  readonly isRepeat: boolean;
  /** When the relay must report to the root. Clock reading. */
  readonly reportAt: number;
  /** Whether the root has granted further attempts; requests the grant when it has not. */
  readonly maySendAgain: () => boolean;
}

/** A single group without leaves, which this gateway queries itself; used while no leaf is known. */
function undividedGroup(shards: readonly string[]): LeafGroup {
  return { zone: '', shards, isRelayed: false, owners: 0, leaves: [] };
}

/** Plans for requests of callers ({@link plan}) and of other roots ({@link relay}). */
export class SourcePlanner {
  constructor(private readonly options: SourcePlannerOptions) {}

  /** Whether requests to the shards are divided, provided that leaves are known. */
  isDivided(shards: readonly string[]): boolean {
    return shards.length > this.options.divideAbove;
  }

  plan(
    request: CallerRequest,
    shards: readonly string[],
    listener: PartListener,
  ): readonly PartSource[] {
    const { rootContext, assignment } = this.options;
    const totalShards = shards.length;
    // A leaf may be lost after it sent the request, so only repeatable requests are divided.
    const isRepeatable = request.route.execution === 'repeatable';
    // A request restricted to certain regions must not reach a leaf of another region.
    const isUnrestricted = !rootContext.regions.restricts(request.route);
    // A suspected request is tried on a single replica, and one gateway has to see the outcome.
    const isSuspected = rootContext.crashGuard.isSuspected(request.fingerprint);
    const mayDivide = isRepeatable && isUnrestricted && !isSuspected && this.isDivided(shards);
    const groups = mayDivide ? assignment.groupsOf(shards) : [];
    if (groups.length === 0) {
      const options = { shards, totalShards, isRepeat: false };
      return [new ShardGather(rootContext, request, options, listener)];
    }
    const encodedRequest = encodeRequest(request, totalShards);
    return groups.map(
      (group) =>
        new GroupGather(this.options, request, { group, totalShards, encodedRequest }, listener),
    );
  }

  /** Creates the source that has leaves query the shards which a root assigned to this relay. */
  relay(request: CallerRequest, call: RelayedCall, listener: PartListener): LeafSource {
    const { shards, ...options } = call;
    const groups = this.groupsContaining(request, shards).map(
      (group) => new GroupGather(this.options, request, { group, ...options }, listener),
    );
    return new RelayedGather(groups);
  }

  /**
   * Takes the groups of the list that contains the shards, as these are cached and dividing a list
   * is slow.
   */
  private groupsContaining(
    request: CallerRequest,
    shards: readonly string[],
  ): readonly LeafGroup[] {
    const { assignment } = this.options;
    const lists = request.table.shardLists;
    const list = lists.find((known) => shards.every((shard) => known.has(shard)));
    const groups = assignment.directGroupsOf(list?.shards ?? shards);
    if (groups.length === 0) return [undividedGroup(shards)];
    const wanted = new Set(shards);
    return groups.flatMap((group) => {
      const part = group.shards.filter((shard) => wanted.has(shard));
      return part.length === 0 ? [] : [{ ...group, shards: part }];
    });
  }
}
