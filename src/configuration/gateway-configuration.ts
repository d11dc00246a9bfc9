/** Settings file of the gateway daemon. */
import * as z from 'zod';
import { gatewayMechanismsSchema } from './gateway-mechanisms.js';
import { tenantSettingsSchema } from './tenant-settings.js';
import { nameSchema } from '../model/service-definition.js';
import {
  addressSchema,
  clusterSchema,
  logSchema,
  memorySchema,
  placeShape,
  zonesSchema,
} from './daemon-configuration.js';

/** Bounds of what replicas get beyond the first attempt of each request, of the whole fleet. */
export const secondSendSchema = z
  .strictObject({
    /** Further attempts for each request. */
    ratio: z.number().min(0).max(1).default(0.1).describe('0.1'),
    /** Further attempts beyond that, of all gateways together. */
    slack: z.int().min(0).default(16),
    /** In any span of this length. Milliseconds. */
    windowMs: z.int().min(1_000).default(10_000),
  })
  .prefault({})
  .describe('{ ratio: 0.1, slack: 16 }');

/** What distance costs when a replica is chosen. */
export const placementSchema = z
  .strictObject({
    /**
     * Cost of one attempt at a replica of another zone, as a part of the worth of
     * one request that is answered in time; 0 chooses by time alone.
     */
    otherZoneCost: z.number().min(0).max(1).default(0.03).describe('0.03'),
  })
  .prefault({})
  .describe('{ otherZoneCost: 0.03 }');

/** How requests to many shards are divided among gateways. */
export const aggregationSchema = z
  .strictObject({
    /**
     * Requests to more shards than this are divided. Asking a shard takes some
     * 0.3 ms of a core, so 32 of them take 10 ms before the last one is asked.
     */
    divideAbove: z.int().min(1).default(32),
    /** Most shards of a group, which one gateway asks. */
    shardsPerGroup: z.int().min(1).default(8),
    /**
     * Has a shard asked in the zone of the gateway that the caller reached where that zone
     * holds a replica of it. Each zone's replicas then carry the load of its own callers.
     */
    nearGroups: z.boolean().default(false),
  })
  .prefault({})
  .describe('{ divideAbove: 32, shardsPerGroup: 8 }');
export type AggregationSettings = z.infer<typeof aggregationSchema>;

export const gatewayConfigurationSchema = z.strictObject({
  /** Unique among the daemons of the cluster. */
  name: nameSchema.describe('gateway-1'),
  ...placeShape,
  /** Needed where routes name the regions that their requests may go to. */
  zones: zonesSchema,
  cluster: clusterSchema,
  listen: z
    .strictObject({
      /** Callers. */
      http: addressSchema,
      /** `/readyz`, `/livez` and `/metrics`. */
      health: addressSchema,
      /** Other gateways, which have some of their shards asked from here; absent: none do. */
      messages: addressSchema.optional(),
    })
    .describe("{ http: '127.0.0.1:7400', health: '127.0.0.1:7401' }"),
  /** Internal addresses of some controllers; the others are learned from them. */
  controllers: z.array(addressSchema).min(1).describe("['127.0.0.1:7500']"),
  secondSends: secondSendSchema,
  placement: placementSchema,
  aggregation: aggregationSchema,
  tenants: tenantSettingsSchema,
  mechanisms: gatewayMechanismsSchema,
  /** From the order to stop until the process must have ended. Milliseconds. */
  stopGraceMs: z.int().min(1_000).default(10_000),
  limits: z
    .strictObject({
      maximumBodyBytes: z.int().min(1_024).default(1_048_576),
      maximumHeaderBytes: z.int().min(1_024).default(65_536),
      maximumConnections: z.int().min(1).default(10_000),
      /** Bodies of requests in hand and answers not taken yet, all callers together. Bytes. */
      maximumBufferedBytes: z.int().min(1_048_576).default(67_108_864),
      /** Longest time that a caller may take to send a request. Milliseconds. */
      requestTimeout: z.int().min(100).default(10_000),
    })
    .prefault({})
    .describe('{ maximumConnections: 10000 }'),
  memory: memorySchema,
  log: logSchema,
});
export type GatewayConfiguration = z.infer<typeof gatewayConfigurationSchema>;
