/**
 * The route document: which requests go to which services. It is one whole with
 * one version; a change replaces all of it.
 */
import * as z from 'zod';
import { MAXIMUM_KEY_CHARACTERS } from '../tenants/tenant-directory.js';

/** Longest route document that is accepted: holds 10,000 tenants with 30,000 keys. Bytes. */
export const MAXIMUM_ROUTE_DOCUMENT_BYTES = 3_000_000;

const nameSchema = z.string().min(1).max(255);
const durationSchema = z.number().positive().max(86_400_000);

/** Whether a request may be run more than once. */
export const executionSchema = z.enum(['repeatable', 'atMostOnce']);
export type Execution = z.infer<typeof executionSchema>;

/** A service's share of a route's requests. */
const splitPartSchema = z.object({
  service: nameSchema,
  weight: z.number().min(0),
});
export type SplitPart = z.infer<typeof splitPartSchema>;

const routeSchema = z.object({
  name: z.string().max(255).default(''),
  host: nameSchema,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().regex(/^\/(?:.*\/)?$/, 'begin and end it with a slash, such as /ledger/'),
  execution: executionSchema.default('atMostOnce'),
  /** Longest time that a request may be held. Milliseconds. */
  timeoutMs: durationSchema,
  /** Time within which an answer is of full use. Milliseconds. */
  targetLatencyMs: durationSchema.optional(),
  /** Rank under overload; 0 is the highest. */
  priority: z.int().min(0).default(0),
  /** Most replicas to which one request may be sent (for each shard, when there are shards). */
  maximumAttempts: z.int().min(1).default(1),
  /** Whether requests need no API key where the document names tenants. */
  public: z.boolean().default(false),
  /** Regions whose replicas may get requests of the route; absent: all. */
  allowedRegions: z.array(nameSchema).min(1).optional(),
  /** Exactly one of these three says where requests go. */
  service: nameSchema.optional(),
  split: z.array(splitPartSchema).min(1).optional(),
  shards: z.array(nameSchema).min(1).optional(),
  /** With `shards`: how many of the greatest records an answer holds. */
  topRecords: z.int().min(0).optional(),
  /** With `shards`: least fraction of the shards that an answer must reach. */
  requiredCoverage: z.number().min(0).max(1).optional(),
});
export type Route = z.infer<typeof routeSchema>;

const serviceSchema = z.object({
  name: nameSchema,
  /** Path of the replicas' health check. */
  healthPath: z.string().default('/health'),
  /** Connections that one replica accepts from all gateways together. */
  maximumConnections: z.int().min(1).default(64),
  /**
   * Requests a second that a cold replica bears from all gateways together; 0 when that
   * is not bounded.
   */
  coldRequestsPerSecond: z.number().min(0).default(0),
});
export type RoutedService = z.infer<typeof serviceSchema>;

const tenantSchema = z.object({
  name: nameSchema,
  /** Each of them names the tenant; none once all were taken away. */
  keys: z.array(z.string().min(1).max(MAXIMUM_KEY_CHARACTERS)),
  /** Rank of its requests, which goes before the route's; 0 is the highest. */
  priority: z.int().min(0).optional(),
  /** Requests a second that all gateways together may pass on; 0: no limit. */
  requestsPerSecond: z.number().min(0).default(0),
  /** Requests beyond that which may come at once. */
  burst: z.number().min(0).default(0),
});

/** What a caller may send, and how long it may take or rest. Bytes and milliseconds. */
const limitsSchema = z.object({
  maximumHeaderBytes: z.int().min(1).default(16_384),
  maximumBodyBytes: z.int().min(0).default(1_048_576),
  headerTimeoutMs: z.number().positive().default(10_000),
  idleTimeoutMs: z.number().positive().default(15_000),
});
export type CallerLimits = z.infer<typeof limitsSchema>;

/** Unknown fields are kept out of the parsed form, and in the bytes that are read back. */
export const routeDocumentSchema = z.object({
  /** The highest version is in force. */
  version: z.int().min(0),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** With these, requests carry an API key unless their route is public; absent: none do. */
  tenants: z.array(tenantSchema).optional(),
  limits: limitsSchema.prefault({}),
});
export type RouteDocument = z.infer<typeof routeDocumentSchema>;
