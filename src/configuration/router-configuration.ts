/** Settings file of the query daemon. */
import * as z from 'zod';
import { nameSchema } from '../model/service-definition.js';
import {
  CONTROLLERS_EXAMPLE,
  addressSchema,
  clusterSchema,
  controllerEndpointSchema,
  logSchema,
  memorySchema,
  placeShape,
} from './daemon-configuration.js';

export const routerConfigurationSchema = z.strictObject({
  /** Unique among the daemons of the cluster. */
  name: nameSchema.describe('router-1'),
  ...placeShape,
  cluster: clusterSchema,
  listen: z
    .strictObject({
      /** Callers, `/metrics`, `/livez` and `/readyz`. */
      http: addressSchema,
    })
    .describe("{ http: '127.0.0.1:7400' }"),
  controllers: z.array(controllerEndpointSchema).min(1).describe(CONTROLLERS_EXAMPLE),
  limits: z
    .strictObject({
      maximumBodyBytes: z.int().min(1_024).default(1_048_576),
      maximumHeaderBytes: z.int().min(1_024).default(16_384),
      maximumConnections: z.int().min(1).default(10_000),
      /** Bodies of queries in hand and answers not taken yet, all callers together. Bytes. */
      maximumBufferedBytes: z.int().min(1_048_576).default(268_435_456),
      /** Milliseconds. */
      requestTimeout: z.int().min(100).default(10_000),
      /** Largest body of one back-end reply. Bytes. */
      maximumReplyBytes: z.int().min(1_024).default(4_194_304),
      /** Outcomes of not repeatable requests kept for resends. */
      maximumRecordedOutcomes: z.int().min(1).default(100_000),
    })
    .prefault({})
    .describe('{ maximumConnections: 10000 }'),
  memory: memorySchema,
  log: logSchema,
});
export type RouterConfiguration = z.infer<typeof routerConfigurationSchema>;
