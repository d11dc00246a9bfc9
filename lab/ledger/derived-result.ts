/**
 * What a stand-in back end answers: data derived from the service, the shard,
 * the snapshot and the query, so that a result can be traced to exactly one of
 * each. Back ends compute it; the auditor computes it again.
 */
import { xxh64 } from '@node-rs/xxhash';

const DIGEST_LENGTH = 16;
/** Most matches a shard reports. */
const MATCH_LIMIT = 40n;

/** Reply body of a stand-in back end. */
export interface DerivedResult {
  readonly shardId: string;
  /** `epoch.version`. */
  readonly snapshot: string;
  /** {@link digestResult} of service, shard, snapshot and query. */
  readonly digest: string;
  /** A plausible number of matches, derived from the digest. */
  readonly matches: number;
}

/** Everything a result depends on. */
export interface ResultOrigin {
  readonly service: string;
  readonly shardId: string;
  /** `epoch.version`. */
  readonly snapshot: string;
  /** {@link digestQuery} of the query. */
  readonly queryDigest: string;
}

function digest(text: string): string {
  return xxh64(text).toString(16).padStart(DIGEST_LENGTH, '0');
}

/** Names a query by its content; callers make each request's query unique. */
export function digestQuery(query: unknown): string {
  return digest(JSON.stringify(query));
}

/** Names a result by everything it depends on. */
export function digestResult(origin: ResultOrigin): string {
  return digest(
    JSON.stringify([origin.service, origin.shardId, origin.snapshot, origin.queryDigest]),
  );
}

/** The result of a query on one shard at one snapshot. */
export function deriveResult(origin: ResultOrigin): DerivedResult {
  const resultDigest = digestResult(origin);
  return {
    shardId: origin.shardId,
    snapshot: origin.snapshot,
    digest: resultDigest,
    matches: Number(BigInt(`0x${resultDigest}`) % MATCH_LIMIT),
  };
}
