/** A caller's query, as posted to `/v1/services/{service}/query`. */
import * as z from 'zod';

/** Longest deadline a caller may ask for. Milliseconds. */
export const MAXIMUM_DEADLINE_MS = 600_000;

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
  /** Time from receipt to the last moment an answer is of use. The service's default when absent. */
  deadlineMs: z.number().positive().max(MAXIMUM_DEADLINE_MS).optional(),
  /** False when running the request twice would do harm. */
  repeatable: z.boolean().default(true),
  /**
   * True when a request with this id was sent before, to whichever router, and
   * its outcome is not known. Not repeatable, it is told the recorded outcome or
   * `outcome_unknown`, and never run.
   */
  resend: z.boolean().optional(),
  /** Aims the request at the one shard that holds this key. */
  key: z.string().min(1).max(1_024).optional(),
  /** Least fraction of shards, 0 to 1; only stricter than the service's own. */
  requiredCoverage: z.number().min(0).max(1).optional(),
  /** Team the request is counted under for fair sharing. */
  team: z.string().min(1).max(64).default('default'),
  /** Handed to the back ends as it is. */
  query: z.json(),
});
export type QueryRequest = z.infer<typeof queryRequestSchema>;
