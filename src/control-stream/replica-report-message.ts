/** Converts replica reports to and from their wire message, whose kind is `sign`. */
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

/** Returns undefined if the state is unknown, or a name in the message is invalid. */
export function fromReplicaReportMessage(message: ReplicaReportMessage): ReplicaReport | undefined {
  const { replicaId, incarnation, state, observedBy } = message;
  if (!Object.hasOwn(REPLICA_STATE_RANK, state)) return undefined;
  if (!nameSchema.safeParse(replicaId).success) return undefined;
  if (!nameSchema.safeParse(observedBy).success) return undefined;
  return { replicaId, incarnation, state: state as ReplicaState, observedBy };
}
