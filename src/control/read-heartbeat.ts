/** Parses and validates the heartbeats that replicas send. */
import * as z from 'zod';
import { RegisteredState, type ReplicaEntry } from '../directory/replica-entry.js';
import { UnusableReason } from '../observability/unusable-entries.js';
import { parseAddress } from '../seams/address.js';

/** Maximum length of a replica ID, in characters. */
const MAXIMUM_ID_LENGTH = 255;
/** One day: no replica stays cold for longer, so a higher value is an error of the sender. */
const MAXIMUM_WARMUP_MS = 86_400_000;

function isDialableAddress(text: string): boolean {
  try {
    return parseAddress(text).port > 0;
  } catch {
    return false;
  }
}

/** Unknown fields are ignored. */
const heartbeatSchema = z.object({
  service: z.string().min(1).max(255),
  address: z
    .string()
    .min(3)
    .max(255)
    .refine(isDialableAddress, 'must be host:port with a port above 0'),
  zone: z.string().max(255).default(''),
  capacity: z.int().min(0).default(1),
  state: z.enum([RegisteredState.Ready, RegisteredState.Draining]),
  sequence: z.int().min(0).default(0),
  warmupRemainingMs: z.number().min(0).max(MAXIMUM_WARMUP_MS).default(0),
  /** When the process started, by its own clock. Unix milliseconds. */
  born: z.int().min(0).optional(),
});

/** Why a heartbeat is unusable; `field` is the first invalid field. */
export interface UnusableHeartbeat {
  readonly reason: UnusableReason;
  readonly field?: string;
}

/** A valid entry, or the reason why there is none. */
export type HeartbeatResult =
  { readonly entry: ReplicaEntry } | { readonly problem: UnusableHeartbeat };

function parseBody(body: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Parses the body of a heartbeat into the replica's entry; reports invalid input and never throws.
 */
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
