/** Faults that can be switched on in a stand-in back end. */
import * as z from 'zod';

export const backendFaultKindSchema = z.enum([
  /** Takes the request into a slot and never replies. */
  'stall',
  /** Works `factor` times slower. */
  'slow',
  /** Closes the connection in the middle of the reply. */
  'truncate',
  /** Echoes an attempt id that nobody sent. */
  'wrong_id',
  /** Replies `delayMs` after the deadline. */
  'late_reply',
  /** Sends the reply that belongs to another request it answered. */
  'foreign_reply',
  /** Replies with a body that is not JSON. */
  'malformed_body',
  /** Sheds every request with the not-started mark. */
  'shed',
  /** Runs the request, then closes the connection without a reply. */
  'lose_reply',
]);
export type BackendFaultKind = z.infer<typeof backendFaultKindSchema>;

export const backendFaultSchema = z.strictObject({
  kind: backendFaultKindSchema,
  /** Share of requests it strikes, 0 to 1. */
  share: z.number().min(0).max(1).default(1),
  /** It ends after striking this often; without end when absent. */
  remaining: z.int().min(1).optional(),
  /** For `slow`. */
  factor: z.number().min(1).default(20),
  /** For `late_reply`. Milliseconds. */
  delayMs: z.number().min(0).default(50),
});
export type BackendFault = z.infer<typeof backendFaultSchema>;
export type BackendFaultInput = z.input<typeof backendFaultSchema>;
