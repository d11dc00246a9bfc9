/** A caller's query, as posted to `/v1/services/{service}/query`. */
import * as z from 'zod';

/** Longest deadline that a caller may request. Milliseconds. */
export const MAXIMUM_DEADLINE_MS = 600_000;

/** Schema of the request body. */
export const queryRequestSchema = z.strictObject({
  /**
   * Chosen by the caller, unique among all requests to the service, such as a
   * UUID; a resend carries the same one.
   */
  requestId: z
    .string()
    .min(1)
    .max(128)
    .regex(/^[\x21-\x7e]+$/, 'use printable ASCII without spaces'),
  /** Time from receipt within which the answer must arrive. Absent: the service's default. */
  deadlineMs: z.number().positive().max(MAXIMUM_DEADLINE_MS).optional(),
  /** False when running the request more than once would do harm. */
  repeatable: z.boolean().default(true),
  /**
   * True when a request with this id was sent before, to any router, and its outcome
   * is unknown to the caller. A resend that is not repeatable gets the stored outcome
   * or `outcome_unknown`, and never runs.
   */
  resend: z.boolean().optional(),
  /** Routes the request to the one shard that holds this key. */
  key: z.string().min(1).max(1_024).optional(),
  /** Minimum fraction of shards, 0 to 1; the service's own applies where it is larger. */
  requiredCoverage: z.number().min(0).max(1).optional(),
  /** Team to which admission attributes the request for fair sharing. */
  team: z.string().min(1).max(64).default('default'),
  /** Passed to the back ends unchanged. */
  query: z.json(),
});
export type QueryRequest = z.infer<typeof queryRequestSchema>;
