/** Entries of replicas as messages of the directory stream, and back. Stored replicas are such messages too. */
import type { ReplicaIncarnationMessage, ReplicaMessage } from './directory-messages.js';
import { isRegisteredState, type ReplicaEntry } from './replica-entry.js';

/** How an entry is sent and stored. */
export function replicaMessage(entry: ReplicaEntry): ReplicaMessage | ReplicaIncarnationMessage {
  const { bornAt, generation = 0, ...rest } = entry;
  const fields = { ...rest, restored: entry.restored === true };
  if (bornAt === undefined) return { kind: 'replica', ...fields };
  return { kind: 'replicaLife', ...fields, bornAt, generation };
}

/** The entry of a message; undefined when it names a state that is not known here. */
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
