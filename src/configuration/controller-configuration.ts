/** Settings file of the control daemon. */
import * as z from 'zod';
import { MINIMUM_CAPACITY_BYTES } from '../consensus/log-limits.js';
import { DEFAULT_RAFT_LIMITS } from '../consensus/raft-timings.js';
import { nameSchema } from '../model/service-definition.js';
import { tokenHashSchema } from '../settings/access-token.js';
import {
  CONTROLLERS_EXAMPLE,
  addressSchema,
  clusterSchema,
  controllerEndpointSchema,
  logSchema,
  memorySchema,
  placeShape,
  zonesSchema,
} from './daemon-configuration.js';
import { tenantSettingsSchema } from './tenant-settings.js';

export const controllerConfigurationSchema = z.strictObject({
  /** Unique among the controllers of the cluster, and never used again after its disk was lost. */
  memberId: nameSchema.describe('controller-1'),
  ...placeShape,
  /** Orders about other zones are refused; when it is empty, orders about any zone are taken. */
  zones: zonesSchema,
  cluster: clusterSchema,
  dataFolder: z.string().min(1).describe('./data/controller-1'),
  storage: z
    .strictObject({
      /**
       * Space on the disk of the data folder. The log is kept so short that it fits there beside two
       * snapshots, and changes are refused for as long as it does not. Bytes.
       */
      capacityBytes: z.int().min(MINIMUM_CAPACITY_BYTES).default(DEFAULT_RAFT_LIMITS.capacityBytes),
    })
    .prefault({})
    .describe('{ capacityBytes: 1073741824 }'),
  listen: z
    .strictObject({
      /** Administration API, `/metrics`, `/livez` and `/readyz`. */
      http: addressSchema,
      /** Peers and daemons. */
      messages: addressSchema,
      /**
       * Registrations of replicas and the route document. Not authenticated: only for
       * networks that nobody else reaches.
       */
      registration: addressSchema.optional(),
    })
    .describe("{ http: '127.0.0.1:7400', messages: '127.0.0.1:7500' }"),
  /** Voters of a new cluster, this one included; ignored once the data folder has a history. */
  initialMembers: z.array(controllerEndpointSchema).min(1).describe(CONTROLLERS_EXAMPLE),
  /** Start as a learner that an operator adds to a running cluster. */
  join: z.boolean().default(false),
  /**
   * The group looks after its members by itself: controllers find it through the
   * seeds and are taken in, lost ones are replaced. `memberId`, `initialMembers`
   * and `join` are not used then.
   */
  automaticMembership: z
    .strictObject({
      /** Internal addresses of some controllers; a new group begins with exactly these. */
      seeds: z.array(addressSchema).min(1).describe("['127.0.0.1:7500']"),
      /** Whether the whole cluster starts for the first time, on empty data folders. */
      firstStart: z.boolean().default(false),
    })
    .optional()
    .describe("{ seeds: ['127.0.0.1:7500'], firstStart: true }"),
  consensus: z
    .strictObject({
      /**
       * Shortest silence of the leader after which another stands for election; the longest is
       * twice that. A small multiple of the slowest sync and of scheduling pauses. Milliseconds.
       */
      electionTimeoutMs: z.int().min(200).max(60_000).default(1_000),
      /** Part of that which is waited for the first time after a start. */
      firstElectionPart: z.number().min(0.05).max(1).default(1),
    })
    .prefault({})
    .describe('{ electionTimeoutMs: 1000 }'),
  directory: z
    .strictObject({
      /**
       * Compresses long frames to gateways and controllers of other zones: a new stream begins with
       * all replicas and routes. Costs processor time where many streams begin at once.
       */
      compressBetweenZones: z.boolean().default(false),
    })
    .prefault({})
    .describe('{ compressBetweenZones: true }'),
  tenants: tenantSettingsSchema,
  administration: z
    .strictObject({
      /**
       * SHA-256 of the bootstrap token's text, hexadecimal. That token may do
       * anything; without it only tokens that it once created are accepted.
       */
      bootstrapTokenHash: tokenHashSchema
        .optional()
        .describe('9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08'),
    })
    .prefault({})
    .describe('{ bootstrapTokenHash: (SHA-256 of the token, hexadecimal) }'),
  /** The platform's list of machines, polled over HTTP. */
  platformList: addressSchema.optional(),
  memory: memorySchema,
  log: logSchema,
});
export type ControllerConfiguration = z.infer<typeof controllerConfigurationSchema>;
