/** Converts replica signs to and from their message. */
import { nameSchema } from '../model/service-definition.js';
import { REPLICA_STATE_ORDER, type ReplicaSign, type ReplicaState } from '../model/replica-sign.js';
import type { SignMessage } from './stream-messages.js';

export function toSignMessage(sign: ReplicaSign): SignMessage {
  return { kind: 'sign', ...sign };
}

/** The sign, or undefined when the message does not hold a valid one. */
export function fromSignMessage(message: SignMessage): ReplicaSign | undefined {
  const { replicaId, incarnation, state, observedBy } = message;
  if (!Object.hasOwn(REPLICA_STATE_ORDER, state)) return undefined;
  if (!nameSchema.safeParse(replicaId).success) return undefined;
  if (!nameSchema.safeParse(observedBy).success) return undefined;
  return { replicaId, incarnation, state: state as ReplicaState, observedBy };
}
