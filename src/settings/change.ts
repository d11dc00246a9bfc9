/** What an operator asks for: several operations that are accepted together or not at all. */
import * as z from 'zod';
import {
  nameSchema,
  replicaSchema,
  serviceSchema,
  shardSchema,
} from '../model/service-definition.js';
import { parseScope } from './scope.js';
import { serviceSettingsSchema } from './service-settings.js';

/** Most operations of one change. */
export const MAXIMUM_OPERATIONS = 1_000;

/** A scope in the form that `formatScope` writes. */
export const scopeTextSchema = z
  .string()
  .max(80)
  .refine((text) => parseScope(text) !== undefined, {
    message: 'write defaults, region/NAME, zone/NAME or service/NAME',
  });

const keySchema = serviceSettingsSchema.keyof();
const epochSchema = z.int().min(1);
const shardsSchema = z.array(shardSchema).min(1).max(4_096);

/** Sets one key at one level of the settings tree. */
export const setOperationSchema = z.strictObject({
  type: z.literal('set'),
  scope: scopeTextSchema,
  key: keySchema,
  value: z.union(
    [z.string().max(64), z.number()],
    'write a number, or text of at most 64 characters',
  ),
});

/** Removes one override, which restores what the wider levels say. */
export const unsetOperationSchema = z.strictObject({
  type: z.literal('unset'),
  scope: scopeTextSchema,
  key: keySchema,
});

/** Adds a region with its zones. Zone names are unique over all regions. */
export const createRegionOperationSchema = z.strictObject({
  type: z.literal('createRegion'),
  region: nameSchema,
  zones: z.array(nameSchema).min(1).max(64),
});

/** Adds a zone to a region. */
export const addZoneOperationSchema = z.strictObject({
  type: z.literal('addZone'),
  region: nameSchema,
  zone: nameSchema,
});

/** Adds a service with its first layout. */
export const createServiceOperationSchema = z.strictObject({
  type: z.literal('createService'),
  service: serviceSchema,
});

/** Removes a service and the overrides at its level. */
export const removeServiceOperationSchema = z.strictObject({
  type: z.literal('removeService'),
  service: nameSchema,
});

/** Adds a layout whose epoch is one above the newest layout's. */
export const repartitionOperationSchema = z.strictObject({
  type: z.literal('repartition'),
  service: nameSchema,
  shards: shardsSchema,
});

/** Stops querying a layout, which may not be the newest. */
export const dropLayoutOperationSchema = z.strictObject({
  type: z.literal('dropLayout'),
  service: nameSchema,
  layoutEpoch: epochSchema,
});

/** Adds a replica to one shard of one layout. */
export const addReplicaOperationSchema = z.strictObject({
  type: z.literal('addReplica'),
  service: nameSchema,
  /** The newest layout when absent. */
  layoutEpoch: epochSchema.optional(),
  shardId: nameSchema,
  replica: replicaSchema,
});

/** Removes a replica from one layout, or from all that name it. */
export const removeReplicaOperationSchema = z.strictObject({
  type: z.literal('removeReplica'),
  service: nameSchema,
  /** Every layout when absent. */
  layoutEpoch: epochSchema.optional(),
  replicaId: nameSchema,
});

/** One step of a change. */
export const operationSchema = z.discriminatedUnion('type', [
  setOperationSchema,
  unsetOperationSchema,
  createRegionOperationSchema,
  addZoneOperationSchema,
  createServiceOperationSchema,
  removeServiceOperationSchema,
  repartitionOperationSchema,
  dropLayoutOperationSchema,
  addReplicaOperationSchema,
  removeReplicaOperationSchema,
]);
export type Operation = z.infer<typeof operationSchema>;
export type OperationOf<T extends Operation['type']> = Extract<Operation, { type: T }>;

/** Chosen by the client, unique among all changes; a resend carries the same one. */
export const changeIdSchema = z
  .string()
  .min(8)
  .max(64)
  .regex(/^[A-Za-z0-9._-]+$/, 'use letters, digits, dots, hyphens and underscores');

/** Who made the change, for the record. */
export const authorSchema = z.string().min(1).max(128);

/** Why the change is made, for the record. */
export const reasonSchema = z.string().min(1).max(1_024);

/** One change as posted to `/v1/changes`. */
export const changeRequestSchema = z.strictObject({
  changeId: changeIdSchema,
  /** Revision of the configuration that the author looked at. */
  baseRevision: z.int().min(0),
  author: authorSchema,
  reason: reasonSchema,
  operations: z.array(operationSchema).min(1).max(MAXIMUM_OPERATIONS),
});
export type ChangeRequest = z.infer<typeof changeRequestSchema>;
