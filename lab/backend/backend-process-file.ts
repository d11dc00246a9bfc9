/** Settings file of `driftway-lab backend`: any number of stand-in replicas in one process. */
import * as z from 'zod';
import { addressSchema } from '../../src/configuration/daemon-configuration.js';
import { nameSchema } from '../../src/model/service-definition.js';
import type { BackendLedger } from '../ledger/backend-ledger.js';
import type { BackendOptions } from './backend-options.js';
import { serviceTimeSchema } from './service-time.js';

const ANY_PORT = '127.0.0.1:0';

/** How a replica behaves; the same for all replicas of a service in a fleet file. Milliseconds. */
export const backendBehaviourShape = {
  slots: z.int().min(1).max(10_000).describe('5'),
  connections: z.int().min(1).max(100_000).describe('70'),
  queueLimit: z.int().min(0).max(100_000).default(32).describe('32'),
  keptSnapshots: z.int().min(1).max(100).default(3).describe('3'),
  serviceTime: serviceTimeSchema.default({
    distribution: { kind: 'lognormal', median: 5, sigma: 0.4 },
    stragglers: { share: 0.01, minimumFactor: 10, maximumFactor: 50 },
  }),
  coldStart: z
    .strictObject({ factor: z.number().min(1), duration: z.number().min(1) })
    .optional()
    .describe('{ factor: 5, duration: 2000 }'),
  oneWayLatency: z.number().min(0).default(0).describe('1'),
  connectionCost: z.number().min(0).default(1).describe('1'),
  report: z
    .strictObject({
      lag: z.number().min(0).default(0),
      claimedLoad: z.number().min(0).optional(),
      hideDraining: z.boolean().optional(),
    })
    .prefault({})
    .describe('{ lag: 500 }'),
};

/** Reads the behaviour out of whatever else a service says. */
export const backendBehaviourSchema = z.object(backendBehaviourShape);

export const backendReplicaSchema = z.strictObject({
  replicaId: nameSchema.describe('kifu-audit-0-a'),
  service: nameSchema.describe('kifu-audit'),
  address: addressSchema.prefault(ANY_PORT),
  shardIds: z.array(nameSchema).min(1).describe('[shard-0]'),
  snapshot: z
    .strictObject({ layoutEpoch: z.int().min(1), indexVersion: z.int().min(1) })
    .default({ layoutEpoch: 1, indexVersion: 1 }),
  ...backendBehaviourShape,
});
export type BackendReplica = z.infer<typeof backendReplicaSchema>;

export const backendProcessSchema = z.strictObject({
  /** Where faults are switched and the ledger is read. */
  control: addressSchema.prefault(ANY_PORT),
  /** The platform list to tell of changes. */
  platformList: addressSchema.optional(),
  /** Where the ledger is written, as JSON, once all replicas have stopped. */
  ledgerFile: z.string().min(1).optional().describe('./backends.ledger.json'),
  /** Of all chance in the process; differs from run to run when absent. */
  seed: z.int().min(0).optional().describe('1'),
  replicas: z.array(backendReplicaSchema).min(1),
});
export type BackendProcessFile = z.infer<typeof backendProcessSchema>;

/** A replica of the file as {@link BackendOptions}. */
export function toBackendOptions(replica: BackendReplica, ledger: BackendLedger): BackendOptions {
  const { coldStart, report, ...rest } = replica;
  const { lag, claimedLoad, hideDraining } = report;
  return {
    ...rest,
    ledger,
    ...(coldStart === undefined ? {} : { coldStart }),
    report: {
      lag,
      ...(claimedLoad === undefined ? {} : { claimedLoad }),
      ...(hideDraining === undefined ? {} : { hideDraining }),
    },
  };
}
