/**
 * Schema of the route document, which maps requests to services. The document has a single
 * version, and a change replaces the whole document.
 */
import * as z from 'zod';
import { MAXIMUM_KEY_CHARACTERS } from '../tenants/tenant-directory.js';

/** Largest route document that is accepted; room for 10,000 tenants with 30,000 keys. */
export const MAXIMUM_ROUTE_DOCUMENT_BYTES = 3_000_000;

const nameSchema = z.string().min(1).max(255);
const durationSchema = z.number().positive().max(86_400_000);

/** Whether a request may be executed more than once. */
export const executionSchema = z.enum(['repeatable', 'atMostOnce']);
export type Execution = z.infer<typeof executionSchema>;

/** A service and its share of a route's requests, as a weight relative to the other services. */
const splitPartSchema = z.object({
  service: nameSchema,
  weight: z.number().min(0),
});
export type SplitPart = z.infer<typeof splitPartSchema>;

const routeSchema = z.object({
  name: z.string().max(255).default(''),
  host: nameSchema,
  /** Path prefix of the requests; begins and ends with a slash. */
  pathPrefix: z.string().regex(/^\/(?:.*\/)?$/, 'begin and end it with a slash, such as /ledger/'),
  execution: executionSchema.default('atMostOnce'),
  /** Longest time that a request may take; its caller may set less. Milliseconds. */
  timeoutMs: durationSchema,
  /** Latency within which an answer has its full value. Milliseconds. */
  targetLatencyMs: durationSchema.optional(),
  /** Priority under overload; 0 is the highest. */
  priority: z.int().min(0).default(0),
  /**
   * Maximum number of replicas to which one request may be sent; applies per shard on fan-out
   * routes.
   */
  maximumAttempts: z.int().min(1).default(1),
  /** Whether requests are exempt from API keys when the document lists tenants. */
  public: z.boolean().default(false),
  /** Regions whose replicas may receive requests of the route; absent: all regions. */
  allowedRegions: z.array(nameSchema).min(1).optional(),
  /** Exactly one of `service`, `split` and `shards` is set: the target of the requests. */
  service: nameSchema.optional(),
  split: z.array(splitPartSchema).min(1).optional(),
  shards: z.array(nameSchema).min(1).optional(),
  /** With `shards`: how many of the greatest records a merged answer contains. */
  topRecords: z.int().min(0).optional(),
  /** With `shards`: minimum fraction of the shards that a merged answer must cover. */
  requiredCoverage: z.number().min(0).max(1).optional(),
});
export type Route = z.infer<typeof routeSchema>;

const serviceSchema = z.object({
  name: nameSchema,
  /** Path of the replicas' health check endpoint. */
  healthPath: z.string().default('/health'),
  /** Maximum number of connections that one replica accepts from all gateways together. */
  maximumConnections: z.int().min(1).default(64),
  /**
   * Maximum number of requests per second that a cold replica can serve for all gateways
   * together; 0: not limited.
   */
  coldRequestsPerSecond: z.number().min(0).default(0),
});
export type RoutedService = z.infer<typeof serviceSchema>;

const tenantSchema = z.object({
  name: nameSchema,
  /** API keys, each of which identifies the tenant; empty once all keys have been revoked. */
  keys: z.array(z.string().min(1).max(MAXIMUM_KEY_CHARACTERS)),
  /** Priority of the tenant's requests, which overrides the route's; 0 is the highest. */
  priority: z.int().min(0).optional(),
  /** Quota: requests per second that all gateways together may forward; 0: no limit. */
  requestsPerSecond: z.number().min(0).default(0),
  /** Requests beyond the quota that may arrive at once. */
  burst: z.number().min(0).default(0),
});

/**
 * Limits on callers: sizes of a request's headers and body (bytes), and the time that sending the
 * headers and being idle may take (milliseconds).
 */
const limitsSchema = z.object({
  maximumHeaderBytes: z.int().min(1).default(16_384),
  maximumBodyBytes: z.int().min(0).default(1_048_576),
  headerTimeoutMs: z.number().positive().default(10_000),
  idleTimeoutMs: z.number().positive().default(15_000),
});
export type CallerLimits = z.infer<typeof limitsSchema>;

/** Unknown fields are dropped from the parsed document, but kept in the stored bytes. */
export const routeDocumentSchema = z.object({
  /** The document with the highest version is in force. */
  version: z.int().min(0),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** When present, requests need an API key unless their route is public; absent: none do. */
  tenants: z.array(tenantSchema).optional(),
  limits: limitsSchema.prefault({}),
});
export type RouteDocument = z.infer<typeof routeDocumentSchema>;
