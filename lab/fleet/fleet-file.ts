/** Settings file of `driftway-lab fleet`: a whole fleet on one machine. */
import * as z from 'zod';
import { nameSchema, serviceKindSchema } from '../../src/model/service-definition.js';
import { settingsOverrideSchema } from '../../src/settings/service-settings.js';
import { backendBehaviourShape } from '../backend/backend-process-file.js';
import { queryKindSchema } from '../load/query-mix.js';

/** One service with the size and behaviour of all its replicas. */
export const fleetServiceSchema = z.strictObject({
  name: nameSchema.describe('kifu-audit'),
  kind: serviceKindSchema.describe('sharded'),
  shards: z.int().min(1).max(4_096).default(1).describe('8'),
  replicasPerShard: z.int().min(1).max(64).describe('2'),
  ...backendBehaviourShape,
  /** Overrides at the level of the service. */
  settings: settingsOverrideSchema.default({}).describe('{ requiredCoverage: 0.9 }'),
});
export type FleetService = z.infer<typeof fleetServiceSchema>;

export const fleetFileSchema = z
  .strictObject({
    /** Names the cluster and its only region. */
    name: nameSchema.describe('dohoku'),
    /** Daemons and replicas are spread over them in turn. */
    zones: z.array(nameSchema).min(1).max(64).describe('[asahikawa-a, nayoro]'),
    controllers: z.int().min(1).max(9).default(3).describe('3'),
    routers: z.int().min(1).max(64).default(2).describe('2'),
    /** Processes that the stand-in replicas are dealt out to. */
    backendProcesses: z.int().min(1).max(64).default(2).describe('2'),
    /** The platform list tells every change this late. Milliseconds. */
    platformLag: z.number().min(0).default(2_000).describe('2000'),
    /** One way between a caller and a router. Milliseconds. */
    clientLatency: z.number().min(0).default(0).describe('1'),
    /** Of all chance in the stand-ins; differs from run to run when absent. */
    seed: z.int().min(0).optional().describe('1'),
    services: z.array(fleetServiceSchema).min(1),
    /** What callers ask for. */
    queries: z.array(queryKindSchema).min(1),
  })
  .superRefine(({ services, queries }, context) => {
    services.forEach(({ kind, shards }, index) => {
      if (kind === 'sharded' || shards === 1) return;
      const message = 'a single-server service has one shard';
      context.addIssue({ code: 'custom', path: ['services', index, 'shards'], message });
    });
    queries.forEach(({ service }, index) => {
      if (services.some(({ name }) => name === service)) return;
      const message = `there is no service ${service} in this fleet`;
      context.addIssue({ code: 'custom', path: ['queries', index, 'service'], message });
    });
  });
export type FleetFile = z.infer<typeof fleetFileSchema>;
