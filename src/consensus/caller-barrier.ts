/**
 * The read that precedes a change for a caller that sends no version. A call may be read long after it was
 * sent, by a process that stood still or behind a path that held it up: its caller has given it up then, and
 * something newer may have been acknowledged. No clock tells how old a call is.
 */
import type { Clock } from '../seams/clock.js';
import { CALLER_GONE_REASON, NotProposedError } from './consensus-errors.js';
import type { ReplicatedLog } from './replicated-log.js';

/** The end of a connection that was held up arrives up to a round trip after the request it carried. */
const CONNECTION_END_GRACE_MS = 100;

/**
 * Resolves once everything acknowledged before the call is applied here, and the caller still waits. What is
 * proposed then is to be conditional on the state read in the same step: the proposal itself may be late.
 *
 * @param caller - aborts when the caller closed its connection.
 * @throws NoQuorumError when this member may lack committed commands.
 * @throws NotProposedError when the caller has gone.
 */
export async function readForCaller(
  log: Pick<ReplicatedLog, 'readBarrier'>,
  clock: Pick<Clock, 'sleep'>,
  caller: AbortSignal,
): Promise<void> {
  await Promise.all([log.readBarrier(), clock.sleep(CONNECTION_END_GRACE_MS)]);
  if (caller.aborted) throw new NotProposedError(CALLER_GONE_REASON);
}
