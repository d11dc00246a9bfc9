/**
 * The settings of a service: one schema that gives types, bounds, units,
 * defaults and documentation. Operators override single keys at the levels of
 * the settings tree.
 */
import * as z from 'zod';

/** Every key, its bounds and its default. Key names carry their unit. */
export const serviceSettingsSchema = z.strictObject({
  requiredCoverage: z
    .number()
    .min(0)
    .max(1)
    .describe('Least fraction of shards an answer must reach before it counts.'),
  completionPolicy: z
    .enum(['wait_for_all', 'return_when_sufficient'])
    .describe('Whether to wait for every shard to the deadline, or return once coverage suffices.'),
  leastWaitGain: z
    .number()
    .min(0)
    .max(100)
    .describe(
      'With return_when_sufficient: coverage that waiting as long again must be expected to add.',
    ),
  defaultDeadlineMs: z
    .number()
    .min(1)
    .max(600_000)
    .describe('Deadline of a request that names none. Milliseconds.'),
  maximumDeadlineMs: z
    .number()
    .min(1)
    .max(600_000)
    .describe('Longer deadlines are cut to this. Milliseconds.'),
  replicaSelection: z
    .enum(['random', 'least_in_flight', 'power_of_two', 'latency_weighted'])
    .describe('How a replica of a shard is chosen.'),
  hedging: z
    .enum(['none', 'quantile'])
    .describe('Whether a second attempt is sent to a sibling of a slow replica.'),
  hedgeQuantile: z
    .number()
    .min(0.5)
    .max(0.9999)
    .describe('Latency quantile after which a hedge is sent.'),
  hedgeBudgetPercent: z
    .number()
    .min(0)
    .max(100)
    .describe('Most hedges, in percent of first attempts.'),
  retryBudgetPercent: z
    .number()
    .min(0)
    .max(100)
    .describe('Most retries, in percent of first attempts.'),
  maximumAttemptsPerShard: z
    .int()
    .min(1)
    .max(10)
    .describe('Most attempts for one shard of one request, hedges included.'),
  admission: z
    .enum(['bounded', 'adaptive'])
    .describe('Whether the number of requests at work is fixed or learned from latency.'),
  maximumInFlight: z
    .int()
    .min(1)
    .max(100_000)
    .describe('Most requests of the service that a router works on at once; more are queued.'),
  queueLimit: z
    .int()
    .min(0)
    .max(100_000)
    .describe('Most requests of the service that wait in a router; more are refused at once.'),
  maximumAnswerBytes: z
    .int()
    .min(1_024)
    .max(1_073_741_824)
    .describe('Largest merged answer. Bytes.'),
  staleSettings: z
    .enum(['refuse', 'serve'])
    .describe('What a router does when it can reach no source with fresh settings.'),
});
export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;
export type ServiceSettingKey = keyof ServiceSettings;

/** In force where no level of the tree says otherwise. */
export const DEFAULT_SERVICE_SETTINGS: ServiceSettings = {
  requiredCoverage: 1,
  completionPolicy: 'wait_for_all',
  leastWaitGain: 0.2,
  defaultDeadlineMs: 1_000,
  maximumDeadlineMs: 30_000,
  replicaSelection: 'latency_weighted',
  hedging: 'quantile',
  hedgeQuantile: 0.95,
  hedgeBudgetPercent: 2,
  retryBudgetPercent: 10,
  maximumAttemptsPerShard: 3,
  admission: 'adaptive',
  maximumInFlight: 1_000,
  queueLimit: 1_000,
  maximumAnswerBytes: 16_777_216,
  staleSettings: 'refuse',
};

/** Overrides at one level: some of the keys. */
export const settingsOverrideSchema = serviceSettingsSchema.partial();
export type SettingsOverride = z.infer<typeof settingsOverrideSchema>;
