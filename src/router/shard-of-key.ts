/** Maps a key to its shard: shard i of n holds the i-th of n equal ranges of the key's hash. */
import { xxh64 } from '@node-rs/xxhash';

const HASH_BITS = 64n;

/** Index of the shard that holds `key` among `shardCount`, by xxHash64 with seed 0. */
export function shardIndexOfKey(key: string, shardCount: number): number {
  return Number((xxh64(key) * BigInt(shardCount)) >> HASH_BITS);
}
