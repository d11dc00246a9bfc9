/** The parts that the settings files of all daemons share. */
import * as z from 'zod';
import { nameSchema } from '../model/service-definition.js';
import { parseAddress, type Address } from '../seams/address.js';

/** `host:port`, read into an {@link Address}. */
export const addressSchema = z
  .string()
  .transform((text, context): Address => {
    try {
      return parseAddress(text);
    } catch (error) {
      context.addIssue({ code: 'custom', message: (error as Error).message });
      return z.NEVER;
    }
  })
  .describe('127.0.0.1:7400');

/** The cluster a daemon belongs to. */
export const clusterSchema = z
  .strictObject({
    /** Peers of another cluster are turned away. */
    id: nameSchema.describe('dohoku'),
    /** Shared by all daemons; proves a peer is one of them. */
    key: z
      .string()
      .min(16, 'write at least 16 characters, the same at every daemon')
      .describe('a-long-random-secret'),
  })
  .describe('{ id: dohoku, key: a-long-random-secret }');

/** Shown for lists of controllers. */
export const CONTROLLERS_EXAMPLE =
  "[{ memberId: controller-1, address: '127.0.0.1:7500', zone: asahikawa-a }]";

/** A controller as other daemons reach it. */
export const controllerEndpointSchema = z.strictObject({
  memberId: nameSchema.describe('controller-1'),
  /** For internal messages. */
  address: addressSchema,
  zone: nameSchema.describe('asahikawa-a'),
});
export type ControllerEndpoint = z.infer<typeof controllerEndpointSchema>;

/** Where a daemon stands. */
export const placeShape = {
  region: nameSchema.describe('dohoku'),
  zone: nameSchema.describe('asahikawa-a'),
};

/** Regions of the deployment's zones, by the name of the zone. */
export const zonesSchema = z
  .record(z.string(), z.string())
  .default({})
  .describe('{ asahikawa-a: dohoku, nayoro: dohoku }');

export const logSchema = z
  .strictObject({
    /** `auto`: readable on a terminal, JSON lines otherwise. */
    format: z.enum(['auto', 'json', 'pretty']).default('auto').describe('json'),
  })
  .default({ format: 'auto' })
  .describe('{ format: json }');

/** Smaller limits leave no room beside what a daemon takes when it starts. Bytes. */
const MINIMUM_MEMORY_BYTES = 134_217_728;

export const memorySchema = z
  .strictObject({
    /** Memory that the process may use, buffers included; by default the container's or the machine's. Bytes. */
    limitBytes: z.int().min(MINIMUM_MEMORY_BYTES).optional().describe('367001600'),
  })
  .prefault({})
  .describe('{ limitBytes: 367001600 }');
