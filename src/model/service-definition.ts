/** Schemas of a service in the configuration: its kind, its layouts and its replicas. */
import * as z from 'zod';

/** Name of a service, zone, region, shard or replica. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/,
    'use lower-case letters, digits and inner hyphens, at most 63, such as kifu-audit',
  );

/** One back-end process that holds one shard (or, for a single-server service, everything). */
export const replicaSchema = z.strictObject({
  replicaId: nameSchema,
  /** `IP:port` of the back end's HTTP endpoint. */
  address: z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'write IP:port, such as 127.0.0.1:7500'),
  zone: nameSchema,
  /** Requests that the replica runs concurrently. */
  slots: z.int().min(1).max(10_000),
  /** Connections that the replica accepts from all routers together. */
  connections: z.int().min(1).max(100_000),
});
export type ReplicaDefinition = z.infer<typeof replicaSchema>;

/** One shard of a layout with the replicas that hold it. */
export const shardSchema = z.strictObject({
  shardId: nameSchema,
  replicas: z.array(replicaSchema).max(64),
});
export type ShardDefinition = z.infer<typeof shardSchema>;

/** A partition of the keys: shard i of n holds the i-th of n equal ranges of the keys' hash. */
export const layoutSchema = z.strictObject({
  layoutEpoch: z.int().min(1),
  shards: z.array(shardSchema).min(1).max(4_096),
});
export type ShardLayout = z.infer<typeof layoutSchema>;

/** `sharded`: a query goes to every shard. `single`: it goes to one replica of the only shard. */
export const serviceKindSchema = z.enum(['sharded', 'single']);
export type ServiceKind = z.infer<typeof serviceKindSchema>;

/** A service as operators create it. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: serviceKindSchema,
  region: nameSchema,
  /** Layouts that queries may use, oldest first; a repartition adds one and later removes the oldest. */
  layouts: z.array(layoutSchema).min(1).max(4),
});
export type ServiceDefinition = z.infer<typeof serviceSchema>;
