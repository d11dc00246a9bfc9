/**
 * A trace: what a bench run replays. Services have the sizes of the named
 * deployment; the trace adds how long replies take, who asks what when, and
 * what fails when. Times in milliseconds since the start of the run.
 */
import * as z from 'zod';
import { nameSchema } from '../../src/model/service-definition.js';
import { settingsOverrideSchema } from '../../src/settings/service-settings.js';
import { stragglersSchema, usualTimeSchema } from './reply-times.js';
import { outcomeSchema } from './stated-outcome.js';

const time = z.number().min(0);

/** Requests at random, independent times. */
const arrivalsSchema = z.strictObject({
  service: nameSchema,
  ratePerSecond: z.number().positive(),
  fromMs: time.default(0),
  /** To the end when absent. */
  toMs: time.optional(),
  team: z.string().default('default'),
  repeatable: z.boolean().default(true),
  deadlineMs: z.number().positive().default(2_000),
  /** How often a caller asks again after a refusal or failure that allows it. */
  callerRetries: z.int().min(0).max(10).default(0),
});
export type Arrivals = z.infer<typeof arrivalsSchema>;

/** A new index version reaches the replicas one after the other, evenly over `spreadMs`. */
const publishSchema = z.strictObject({
  atMs: time,
  service: nameSchema,
  indexVersion: z.int().min(2),
  spreadMs: time,
});
export type Publish = z.infer<typeof publishSchema>;

/** What the fault does to the chosen replicas until its end. */
export const traceFaultKindSchema = z.enum([
  /** Replies take `factor` times longer. */
  'slow',
  /** The process ends and its connections break; comes back cold at the end, if there is one. */
  'crash',
  /** The machine is gone in silence; comes back cold at the end, if there is one. */
  'power_loss',
  /** Announces that it leaves; rejects new work. */
  'drain',
  /** Reports and claims no load at all. */
  'lie_about_load',
]);
export type TraceFaultKind = z.infer<typeof traceFaultKindSchema>;

const faultSchema = z.strictObject({
  kind: traceFaultKindSchema,
  atMs: time,
  /** Without end when absent. */
  untilMs: time.optional(),
  service: nameSchema.optional(),
  /** Of every shard when absent. */
  shard: z.int().min(0).optional(),
  /** Every replica of the shard when absent. */
  replica: z.int().min(0).optional(),
  /** Only replicas in this zone. */
  zone: nameSchema.optional(),
  factor: z.number().min(1).default(20),
});
export type TraceFault = z.infer<typeof faultSchema>;

/** Slowdown of a back end just started, falling to 1 over `duration`. Milliseconds. */
const coldStartSchema = z.strictObject({
  factor: z.number().min(1),
  duration: z.number().positive(),
});

/** A part of the run with figures of its own. */
const phaseSchema = z.strictObject({ name: nameSchema, fromMs: time, toMs: time });
export type Phase = z.infer<typeof phaseSchema>;

export const traceSchema = z.strictObject({
  name: nameSchema,
  description: z.string(),
  deployment: z.enum(['dohoku', 'pnw']),
  durationMs: time,
  /** Requests scheduled earlier are sent but not counted. */
  warmupMs: time,
  routers: z.int().min(1).max(32).default(2),
  replyTimes: z.record(nameSchema, usualTimeSchema),
  stragglers: stragglersSchema.optional(),
  coldStart: coldStartSchema.optional(),
  /** How old the load is that back ends report. */
  reportLagMs: time.default(0),
  /** What the operators require of each service; a policy set overrides the choice of policies. */
  settings: z.record(nameSchema, settingsOverrideSchema).default({}),
  arrivals: z.array(arrivalsSchema).min(1),
  publishes: z.array(publishSchema).default([]),
  faults: z.array(faultSchema).default([]),
  phases: z.array(phaseSchema).default([]),
  outcomes: z.array(outcomeSchema).default([]),
});
export type Trace = z.infer<typeof traceSchema>;
