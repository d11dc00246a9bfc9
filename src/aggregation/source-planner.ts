/**
 * Decides who asks the shards of a request: this gateway all of them, or leaves
 * in groups, when there are so many that asking them one after the other from
 * here would take too long.
 */
import type { CallerRequest } from '../gateway/caller-request.js';
import type { PartListener, PartSource } from '../gateway/part-source.js';
import { ShardGather } from '../gateway/shard-gather.js';
import { encodeRequest } from './encode-request.js';
import { GroupGather, type GroupGatherParts } from './group-gather.js';
import type { LeafAssignment } from './leaf-assignment.js';

/** What the planner goes by. */
export interface SourcePlannerOptions extends GroupGatherParts {
  readonly assignment: LeafAssignment;
  /** Requests to more shards than this are divided; Infinity divides none. */
  readonly divideAbove: number;
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
    const mayRunTwice = request.route.execution === 'repeatable';
    // A leaf of another region must not see a request that is to stay in some.
    const mayGoAnywhere = !rootContext.regions.restricts(request.route);
    // Where it is tried on one replica alone, one gateway has to see what becomes of it.
    const isSuspected = rootContext.crashGuard.isSuspected(request.fingerprint);
    const mayDivide = mayRunTwice && mayGoAnywhere && !isSuspected && this.isDivided(shards);
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
}
