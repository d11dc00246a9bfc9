/**
 * The best possible outcome of each request: every shard answered by its
 * fastest replica, known beforehand, with no queue anywhere. No policy can be
 * faster on the same reply times; with load, none can quite reach it.
 */
import type { ServiceDefinition, ShardDefinition } from '../../src/model/service-definition.js';
import type { ReplicaOutages } from './replica-outages.js';
import type { ReplyTimes } from './reply-times.js';

/** A request as the oracle sees it. */
export interface OracleRequest {
  readonly queryDigest: string;
  /** Milliseconds since the start of the run. */
  readonly scheduledAt: number;
  readonly deadline: number;
  /** Zone of the router that it went to. */
  readonly zone: string;
  /** Shards whose replies end the wait. */
  readonly shardsAwaited: number;
}

/** What could have been had. */
export interface OracleAnswer {
  /** Undefined when no choice of replicas answers before the deadline. Milliseconds. */
  readonly latency: number | undefined;
  readonly isFull: boolean;
}

/** One-way latencies. Milliseconds. */
export interface OracleDistances {
  readonly client: number;
  readonly sameZone: number;
  readonly otherZone: number;
}

/** Knows the reply times of one run. */
export class Oracle {
  constructor(
    private readonly replyTimes: ReplyTimes,
    private readonly outages: ReplicaOutages,
    private readonly distances: OracleDistances,
  ) {}

  answer(service: ServiceDefinition, request: OracleRequest): OracleAnswer {
    const shards = service.layouts[0]?.shards ?? [];
    const replies = shards
      .map((shard) => this.fastestReply(service.name, shard, request))
      .filter((reply) => reply <= request.deadline)
      .sort((left, right) => left - right);
    return {
      latency: replies[request.shardsAwaited - 1],
      isFull: replies.length === shards.length,
    };
  }

  /** From the scheduled time to the answer at the caller; Infinity when no replica can. */
  private fastestReply(service: string, shard: ShardDefinition, request: OracleRequest): number {
    const { client, sameZone, otherZone } = this.distances;
    let fastest = Infinity;
    for (const { replicaId, zone } of shard.replicas) {
      const distance = client + (zone === request.zone ? sameZone : otherZone);
      const begin = request.scheduledAt + distance;
      const key = { service, shardId: shard.shardId, replicaId, queryDigest: request.queryDigest };
      const work = this.replyTimes.workingTime(key, begin);
      if (!this.outages.canWork(replicaId, begin, begin + work)) continue;
      fastest = Math.min(fastest, 2 * distance + work);
    }
    return fastest;
  }
}
