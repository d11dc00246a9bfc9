/** Converts replica signs to and from their message. */
import { nameSchema } from '../model/service-definition.js';
import {
  REPLICA_STATE_RANK,
  type ReplicaReport,
  type ReplicaState,
} from '../model/replica-report.js';
import type { ReplicaReportMessage } from './stream-messages.js';

export function toReplicaReportMessage(report: ReplicaReport): ReplicaReportMessage {
  return { kind: 'sign', ...report };
}

/** The sign, or undefined when the message does not hold a valid one. */
export function fromReplicaReportMessage(message: ReplicaReportMessage): ReplicaReport | undefined {
  const { replicaId, incarnation, state, observedBy } = message;
  if (!Object.hasOwn(REPLICA_STATE_RANK, state)) return undefined;
  if (!nameSchema.safeParse(replicaId).success) return undefined;
  if (!nameSchema.safeParse(observedBy).success) return undefined;
  return { replicaId, incarnation, state: state as ReplicaState, observedBy };
}
