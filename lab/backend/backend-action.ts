/** What the control port can make a stand-in back end do, besides faults. */
import * as z from 'zod';

export const backendActionSchema = z.enum([
  /** Rejects new work, finishes the rest, keeps listening. */
  'drain',
  /** Drains and closes. */
  'stop',
  /** Cuts every connection and refuses new ones. */
  'crash',
  /** Refuses new connections only. */
  'refuse',
  /** Ends `refuse`. */
  'accept',
  /** Comes back after `stop` or `crash` as a new incarnation. */
  'restart',
]);
export type BackendAction = z.infer<typeof backendActionSchema>;

/** A snapshot to hold; the replica keeps its shards where none are named. */
export const publishSchema = z.strictObject({
  layoutEpoch: z.int().min(1),
  indexVersion: z.int().min(1),
  shardIds: z.array(z.string()).optional(),
});
export type PublishRequest = z.infer<typeof publishSchema>;
