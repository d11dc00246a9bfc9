/** What successful responses look like. */
import * as z from 'zod';
import { nameSchema, serviceKindSchema, serviceSchema } from '../model/service-definition.js';
import { operationSchema } from '../settings/change.js';
import { serviceSettingsSchema, settingsOverrideSchema } from '../settings/service-settings.js';

const revisionSchema = z.int().min(0);
const wallTimeSchema = z.number().describe('Milliseconds since the Unix epoch.');
const settingValueSchema = z.union([z.string(), z.number()]);

export const differenceSchema = z.strictObject({
  path: z.string(),
  before: z.json(),
  after: z.json(),
});

export const changeResultSchema = z.strictObject({
  changeId: z.string(),
  /** Absent for a dry run. */
  acceptedAt: wallTimeSchema.optional(),
  revision: revisionSchema.describe('Of the configuration with the change.'),
  repeated: z.boolean().describe('True when an earlier sending of the change was accepted.'),
  dryRun: z.boolean(),
  differences: z.array(differenceSchema).optional().describe('Given for a dry run.'),
});
export type ChangeResult = z.infer<typeof changeResultSchema>;

export const acceptedChangeSchema = z.strictObject({
  revision: revisionSchema,
  changeId: z.string(),
  author: z.string(),
  team: z.string().optional().describe('Of the token; absent for the bootstrap token.'),
  reason: z.string(),
  acceptedAt: wallTimeSchema,
  operations: z.array(operationSchema),
});

const daemonSchema = z.strictObject({
  name: z.string(),
  revision: z.int().min(-1).describe('In force there; -1 before the first.'),
  zone: z.string().optional(),
  version: z.string().optional(),
  silentMs: z.number().optional().describe('Since it was last heard of.'),
});

export const forceSchema = z.strictObject({
  revision: revisionSchema,
  daemons: z.int().describe('Daemons known to the controllers.'),
  inForce: z.int().describe('Those that report this revision or a later one in force.'),
  late: z.array(daemonSchema),
});
export type Force = z.infer<typeof forceSchema>;

const gatewayRoutesSchema = z.strictObject({
  version: z.int().nullable().describe('Newest accepted route document; null before the first.'),
  gateways: z.array(
    z.strictObject({
      gateway: z.string(),
      zone: z.string(),
      version: z.int().min(-1).describe('In force there when it last spoke; -1 before the first.'),
      lackingMs: z
        .number()
        .nullable()
        .describe('For how long it has lacked a newer one; null where it lacks none.'),
      owedBy: z.array(z.string()).describe('Controllers that are to send it newer ones.'),
    }),
  ),
});

export const changeReportSchema = z.strictObject({
  changeId: z.string(),
  outcome: z.enum(['accepted', 'done', 'conflict', 'rejected']),
  reason: z.string().optional().describe('Why it was turned down.'),
  change: acceptedChangeSchema
    .optional()
    .describe('Absent when it was not accepted, or is no longer kept.'),
  revision: revisionSchema.optional(),
  force: forceSchema.optional().describe('Absent when it was not accepted.'),
});
export type ChangeReport = z.infer<typeof changeReportSchema>;

export const configurationSchema = z.strictObject({
  revision: revisionSchema,
  regions: z.record(z.string(), z.strictObject({ name: nameSchema, zones: z.array(nameSchema) })),
  services: z.record(z.string(), serviceSchema),
  overrides: z.record(z.string(), settingsOverrideSchema),
});

export const serviceListSchema = z.strictObject({
  revision: revisionSchema,
  services: z.array(
    z.strictObject({
      name: nameSchema,
      kind: serviceKindSchema,
      region: nameSchema,
      layouts: z.array(
        z.strictObject({ layoutEpoch: z.int(), shards: z.int(), replicas: z.int() }),
      ),
    }),
  ),
});
export type ServiceList = z.infer<typeof serviceListSchema>;

export const serviceReportSchema = z.strictObject({
  revision: revisionSchema,
  service: serviceSchema,
});
export type ServiceReport = z.infer<typeof serviceReportSchema>;

export const effectiveReportSchema = z.strictObject({
  revision: revisionSchema,
  service: nameSchema,
  zone: nameSchema,
  settings: z.array(
    z.strictObject({
      key: serviceSettingsSchema.keyof(),
      value: settingValueSchema,
      level: z.string().describe('Where the value came from: built-in, or a scope.'),
      hidden: z
        .array(z.strictObject({ level: z.string(), value: settingValueSchema }))
        .describe('What wider levels say, nearest first.'),
    }),
  ),
});
export type EffectiveReport = z.infer<typeof effectiveReportSchema>;

export const historySchema = z.strictObject({
  revision: revisionSchema,
  changes: z.array(acceptedChangeSchema).describe('Newest first.'),
});
export type HistoryReport = z.infer<typeof historySchema>;

export const statusSchema = z.strictObject({
  version: z.string(),
  memberId: z.string().describe('Of the controller that answers.'),
  role: z.enum(['leader', 'follower', 'candidate', 'learner', 'stopped']),
  leaderId: z.string().nullable(),
  term: z.int(),
  commitIndex: z.int(),
  appliedIndex: z.int(),
  lastIndex: z.int(),
  sinceQuorumMs: z
    .number()
    .nullable()
    .describe('How long ago it last knew of a quorum; null for never.'),
  revision: revisionSchema,
  members: z.array(
    z.strictObject({
      memberId: z.string(),
      address: z.string(),
      voter: z.boolean(),
      behind: z
        .int()
        .nullable()
        .describe('Log entries it lacks; null where this controller does not know.'),
    }),
  ),
  force: forceSchema.nullable().describe('Of the newest revision; null where no one keeps track.'),
  daemons: z.array(daemonSchema),
  routes: gatewayRoutesSchema,
});
export type StatusReport = z.infer<typeof statusSchema>;

export const doneSchema = z.strictObject({
  changeId: z.string(),
  acceptedAt: wallTimeSchema,
  repeated: z.boolean(),
});
export type DoneResult = z.infer<typeof doneSchema>;

export const evacuationListSchema = z.strictObject({
  zones: z.array(z.string()).describe('To whose replicas gateways send nothing new; in order.'),
});
export type EvacuationList = z.infer<typeof evacuationListSchema>;

export const tenantUsageListSchema = z.strictObject({
  owner: z.string().describe('The controller that grants tokens.'),
  windowMs: z.int().describe('Counts are of about so long. Milliseconds.'),
  tenants: z.array(
    z.strictObject({
      name: z.string(),
      requestsPerSecond: z.number(),
      burst: z.number(),
      allowed: z.number().describe('Requests in a window by the limit, without its tolerance.'),
      admitted: z.int(),
      refused: z.int().describe('The limit was reached.'),
      refusedWithoutOwner: z.int().describe('Gateways found nobody to ask.'),
    }),
  ),
});
export type TenantUsageList = z.infer<typeof tenantUsageListSchema>;

export const quarantineListSchema = z.strictObject({
  requests: z.array(
    z.strictObject({
      fingerprint: z.string().describe('Of method, host, target, caller and body.'),
      description: z.string().describe('Method, host and path.'),
      state: z.string().describe('`suspected`: tried on one replica; `quarantined`: refused.'),
      trialHolder: z.string().describe('The gateway that tries it now, and its trial; or empty.'),
      revision: z.int().describe('Of the last change; the latest comes first.'),
      ended: z.array(z.string()).describe('Replicas that ended under it, eight at most.'),
      endedInTrial: z.array(z.string()).describe('Those of them that ended in a trial.'),
    }),
  ),
});
export type QuarantineList = z.infer<typeof quarantineListSchema>;

const tenantSchema = z.strictObject({
  name: z.string(),
  priority: z.int().nullable().describe('Null where the priority of the route holds.'),
  requestsPerSecond: z.number().describe('0: no limit.'),
  burst: z.number(),
  keys: z.int().describe('How many API keys name it.'),
});

export const tenantListSchema = z.strictObject({
  version: z.int().nullable().describe('Of the newest route document; null before the first.'),
  tenants: z.array(tenantSchema),
});
export type TenantList = z.infer<typeof tenantListSchema>;

export const tenantReportSchema = z.strictObject({
  version: z.int().describe('Of the newest route document.'),
  tenant: tenantSchema,
  keyDigests: z.array(z.string()).describe('Beginnings of the SHA-256 of its keys, in order.'),
});
export type TenantReport = z.infer<typeof tenantReportSchema>;

export const tokenListSchema = z.strictObject({
  tokens: z.array(
    z.strictObject({
      tokenId: z.string(),
      team: z.string(),
      scopes: z.array(z.string()),
      createdBy: z.string(),
      createdAt: wallTimeSchema,
    }),
  ),
  records: z
    .array(
      z.strictObject({
        action: z.enum(['created', 'revoked']),
        tokenId: z.string(),
        changeId: z.string(),
        author: z.string(),
        reason: z.string(),
        at: wallTimeSchema,
      }),
    )
    .describe('The last creations and revocations, oldest first.'),
});
export type TokenList = z.infer<typeof tokenListSchema>;

export const memberListSchema = z.strictObject({ members: statusSchema.shape.members });
export type MemberList = z.infer<typeof memberListSchema>;
