/** Reads what a replica says of itself. */
import * as z from 'zod';
import { RegisteredState, type ReplicaEntry } from '../directory/replica-entry.js';
import { UnusableReason } from '../observability/unusable-entries.js';
import { parseAddress } from '../seams/address.js';

/** Longest id that is kept. Characters. */
const MAXIMUM_ID_LENGTH = 255;
/** No replica stays cold for longer than a day; more is a mistake. Milliseconds. */
const MAXIMUM_WARMUP_MS = 86_400_000;

function isDialableAddress(text: string): boolean {
  try {
    return parseAddress(text).port > 0;
  } catch {
    return false;
  }
}

/** Fields that are not known are ignored. */
const heartbeatSchema = z.object({
  service: z.string().min(1).max(255),
  address: z.string().min(3).max(255).refine(isDialableAddress, 'not host:port'),
  zone: z.string().max(255).default(''),
  capacity: z.int().min(0).default(1),
  state: z.enum([RegisteredState.Ready, RegisteredState.Draining]),
  sequence: z.int().min(0).default(0),
  warmupRemainingMs: z.number().min(0).max(MAXIMUM_WARMUP_MS).default(0),
  /** When the process started, by its own clock. Unix milliseconds. */
  born: z.int().min(0).optional(),
});

/** A heartbeat that was not understood; `field` is the first that does not fit. */
export interface UnusableHeartbeat {
  readonly reason: UnusableReason;
  readonly field?: string;
}

export type HeartbeatResult =
  { readonly entry: ReplicaEntry } | { readonly problem: UnusableHeartbeat };

function parseBody(body: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)) as unknown;
  } catch {
    return undefined;
  }
}

/** The entry that the bytes give of the replica, or why they give none. */
export function readHeartbeat(replicaId: string, body: Uint8Array): HeartbeatResult {
  if (replicaId === '' || replicaId.length > MAXIMUM_ID_LENGTH) {
    return { problem: { reason: UnusableReason.BadField, field: 'id' } };
  }
  const content = parseBody(body);
  if (content === undefined) return { problem: { reason: UnusableReason.Unreadable } };
  const parsed = heartbeatSchema.safeParse(content);
  if (!parsed.success) {
    const field = String(parsed.error.issues[0]?.path[0] ?? 'body');
    const reason = field === 'state' ? UnusableReason.UnknownState : UnusableReason.BadField;
    return { problem: { reason, field } };
  }
  const { warmupRemainingMs: warmupMs, born, ...fields } = parsed.data;
  const entry = { ...fields, replicaId, warmupMs };
  return { entry: born === undefined ? entry : { ...entry, bornAt: born } };
}
