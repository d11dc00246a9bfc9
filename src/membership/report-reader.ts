/** Parses and validates the report of a back end, which is untrusted network input. */
import * as z from 'zod';
import type { BackendReport } from '../model/backend-protocol.js';
import { parseSnapshot } from '../model/snapshot.js';

/** Far more snapshots than a replica holds; bounds memory. */
const MAXIMUM_SNAPSHOTS = 256;

const reportSchema = z.object({
  replicaId: z.string().max(63),
  incarnation: z.int().min(0),
  draining: z.boolean(),
  load: z.number().min(0),
  snapshots: z
    .array(z.string().refine((text) => parseSnapshot(text) !== undefined))
    .max(MAXIMUM_SNAPSHOTS),
});

/** Returns the report; undefined if `body` is not a valid one. */
export function readReport(body: Uint8Array): BackendReport | undefined {
  try {
    return reportSchema.parse(JSON.parse(Buffer.from(body).toString('utf8')));
  } catch {
    return undefined;
  }
}
