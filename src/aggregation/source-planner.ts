/**
 * Decides who asks the shards of a request: this gateway all of them, or leaves
 * in groups, when there are so many that asking them one after the other from
 * here would take too long.
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

/** What the planner goes by. */
export interface SourcePlannerOptions extends GroupGatherContext {
  readonly assignment: LeafAssignment;
  /** Requests to more shards than this are divided; Infinity divides none. */
  readonly divideAbove: number;
}

/** What a relay was asked, besides the request. */
export interface RelayedCall {
  readonly shards: readonly string[];
  readonly totalShards: number;
  /** As the root encoded it. */
  readonly encodedRequest: Uint8Array;
  readonly isRepeat: boolean;
  /** When the relay reports to the root. Clock reading. */
  readonly reportAt: number;
  /** Whether the root has granted second sendings; asks for the grant where it has not. */
  readonly maySendAgain: () => boolean;
}

/** Shards that are asked from here, as no leaf is known. */
function undividedGroup(shards: readonly string[]): LeafGroup {
  return { zone: '', shards, isRelayed: false, owners: 0, leaves: [] };
}

/** See the module comment. */
export class SourcePlanner {
  constructor(private readonly options: SourcePlannerOptions) {}

  /** Whether a request to the shards is divided when leaves are known. */
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
    // Only what may run twice may be given to a leaf that can be lost.
    const isRepeatable = request.route.execution === 'repeatable';
    // A leaf of another region must not see a request that is to stay in some.
    const isUnrestricted = !rootContext.regions.restricts(request.route);
    // Where it is tried on one replica alone, one gateway has to see what becomes of it.
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

  /** Has the shards that a root gave to this gateway as a relay asked by leaves. */
  relay(request: CallerRequest, call: RelayedCall, listener: PartListener): LeafSource {
    const { shards, ...options } = call;
    const groups = this.groupsContaining(request, shards).map(
      (group) => new GroupGather(this.options, request, { group, ...options }, listener),
    );
    return new RelayedGather(groups);
  }

  /** By the groups of the list that the shards are of, which are known: to divide a list takes long. */
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
