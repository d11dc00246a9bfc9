/** Settings file of the control daemon. */
import { z } from 'zod';
import { nameSchema } from '../model/service-definition.js';
import {
  addressSchema,
  clusterSchema,
  controllerEndpointSchema,
  logSchema,
  placeShape,
} from './daemon-configuration.js';

export const controllerConfigurationSchema = z.strictObject({
  /** Unique among the controllers of the cluster, and never used again after its disk was lost. */
  memberId: nameSchema.describe('controller-1'),
  ...placeShape,
  cluster: clusterSchema,
  dataFolder: z.string().min(1).describe('./data/controller-1'),
  listen: z.strictObject({
    /** Administration API, `/metrics`, `/livez` and `/readyz`. */
    http: addressSchema,
    /** Peers and daemons. */
    messages: addressSchema,
  }),
  /** Voters of a new cluster, this one included; ignored once the data folder has a history. */
  initialMembers: z.array(controllerEndpointSchema).min(1),
  /** Start as a learner that an operator adds to a running cluster. */
  join: z.boolean().default(false),
  /** The platform's list of machines, polled over HTTP. */
  platformList: addressSchema.optional(),
  log: logSchema,
});
export type ControllerConfiguration = z.infer<typeof controllerConfigurationSchema>;
