/** Reads a back end's report; it comes over the network and may be anything. */
import * as z from 'zod';
import type { BackendReport } from '../model/backend-protocol.js';
import { parseSnapshot } from '../model/snapshot.js';

/** Far more versions than a replica keeps; bounds memory. */
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

/** The report, or undefined when `body` is not one. */
export function readReport(body: Uint8Array): BackendReport | undefined {
  try {
    return reportSchema.parse(JSON.parse(Buffer.from(body).toString('utf8')));
  } catch {
    return undefined;
  }
}
