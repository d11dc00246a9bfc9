/** Converts replica signs to and from their message. */
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

/** The sign, or undefined when the message does not hold a valid one. */
export function fromLivenessReportMessage(
  message: LivenessReportMessage,
): LivenessReport | undefined {
  const { replicaId, incarnation, state, observedBy } = message;
  if (!Object.hasOwn(REPLICA_STATE_ORDER, state)) return undefined;
  if (!nameSchema.safeParse(replicaId).success) return undefined;
  if (!nameSchema.safeParse(observedBy).success) return undefined;
  return { replicaId, incarnation, state: state as ReplicaState, observedBy };
}
