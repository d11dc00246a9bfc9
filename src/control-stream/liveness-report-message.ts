/** Converts liveness reports to and from their wire message, whose kind is `sign`. */
import { nameSchema } from '../model/service-definition.js';
import {
  REPLICA_STATE_ORDER,
  type LivenessReport,
  type ReplicaState,
} from '../model/liveness-report.js';
import type { LivenessReportMessage } from './stream-messages.js';

export function toLivenessReportMessage(report: LivenessReport): LivenessReportMessage {
  return { kind: 'sign', ...report };
}

/** Returns undefined if the state is unknown, or a name in the message is invalid. */
export function fromLivenessReportMessage(
  message: LivenessReportMessage,
): LivenessReport | undefined {
  const { replicaId, incarnation, state, observedBy } = message;
  if (!Object.hasOwn(REPLICA_STATE_ORDER, state)) return undefined;
  if (!nameSchema.safeParse(replicaId).success) return undefined;
  if (!nameSchema.safeParse(observedBy).success) return undefined;
  return { replicaId, incarnation, state: state as ReplicaState, observedBy };
}
