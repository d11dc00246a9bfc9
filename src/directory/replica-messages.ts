/**
 * Conversion between replica entries and messages of the directory stream. Stored replicas use the
 * same messages.
 */
import type { ReplicaIncarnationMessage, ReplicaMessage } from './directory-messages.js';
import { isRegisteredState, type ReplicaEntry } from './replica-entry.js';

/** Encodes an entry as a message, for sending and for storing. */
export function replicaMessage(entry: ReplicaEntry): ReplicaMessage | ReplicaIncarnationMessage {
  const { bornAt, generation = 0, ...rest } = entry;
  const fields = { ...rest, restored: entry.restored === true };
  if (bornAt === undefined) return { kind: 'replica', ...fields };
  return { kind: 'replicaLife', ...fields, bornAt, generation };
}

/** Decodes a message into an entry; undefined if its state is unknown to this version. */
export function replicaEntry(
  message: ReplicaMessage | ReplicaIncarnationMessage,
): ReplicaEntry | undefined {
  const { replicaId, service, address, zone, capacity, state, sequence, warmupMs } = message;
  if (!isRegisteredState(state)) return undefined;
  const { restored } = message;
  const fields = {
    replicaId,
    service,
    address,
    zone,
    capacity,
    state,
    sequence,
    warmupMs,
    restored,
  };
  if (message.kind === 'replica') return fields;
  const { bornAt, generation } = message;
  return { ...fields, bornAt, generation };
}
