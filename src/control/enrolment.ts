/** Enrolment: adds other controllers to the group, and asks other controllers to add this one. */
import type { RaftNode } from '../consensus/raft-node.js';
import { SilenceGuard } from '../control-stream/silence-guard.js';
import type { Logger } from '../observability/logger.js';
import { dial } from '../protocol/dial.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { ENROLMENT_CODEC, type EnrolMessage } from './enrolment-messages.js';

const DIAL_TIMEOUT_MS = 600;
/** Maximum wait for a response: a member whose data folder was lost is removed first. */
const RESPONSE_TIMEOUT_MS = 6_000;
const RETRY_INTERVAL_MS = 250;
const MAXIMUM_REASON_LENGTH = 512;

/**
 * Handles one enrolment request: adds the sender as a learner and responds. The leader gives it a vote
 * when the group has use for one.
 */
export async function serveEnrolment(
  log: RaftNode,
  connection: MessageConnection,
  logger: Logger,
): Promise<void> {
  const frame = await connection.receive();
  if (frame === undefined) return;
  const message = ENROLMENT_CODEC.decode(frame, connection.peer);
  if (message.kind !== 'enrol') return;
  const reason = await addMember(log, message);
  const { memberId, address } = message;
  logger.info('enrolment asked for', { member: memberId, address, reason });
  const accepted = reason === '';
  await connection.send(ENROLMENT_CODEC.encode({ kind: 'enrolled', accepted, reason }));
}

/** Returns why the sender could not be added; empty when it is a member. */
async function addMember(log: RaftNode, { memberId, address }: EnrolMessage): Promise<string> {
  try {
    await log.addLearner(memberId, address);
    return '';
  } catch (error) {
    return String(error).slice(0, MAXIMUM_REASON_LENGTH);
  }
}

/** Dependencies of {@link enrolUntilMember}. */
export interface EnrolmentOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly log: RaftNode;
  /** This controller's `host:port` for internal messages. */
  readonly address: string;
  /** Returns the `host:port` of the controllers to ask; read again in each round. */
  readonly controllers: () => readonly string[];
  readonly stopped: AbortSignal;
}

/**
 * Asks one controller after the other, in rounds, until this one is a member or `stopped` aborts.
 */
export async function enrolUntilMember(options: EnrolmentOptions): Promise<void> {
  const { environment, log, stopped, address } = options;
  const { clock } = environment;
  while (!stopped.aborted && !isMember(log)) {
    for (const controller of options.controllers()) {
      if (stopped.aborted || isMember(log)) return;
      if (controller !== address) await requestEnrolment(options, controller);
    }
    await clock.sleep(RETRY_INTERVAL_MS, stopped).catch(() => undefined);
  }
}

function isMember(log: RaftNode): boolean {
  const { memberId, members } = log.status();
  return members.some((member) => member.memberId === memberId);
}

async function requestEnrolment(options: EnrolmentOptions, controller: string): Promise<void> {
  const { environment, identity, address, logger } = options;
  let connection: MessageConnection | undefined;
  try {
    connection = await dial(environment, identity, {
      address: parseAddress(controller),
      role: 'enrolment',
      connectTimeout: DIAL_TIMEOUT_MS,
      signal: options.stopped,
    });
    void new SilenceGuard(environment.clock, connection, RESPONSE_TIMEOUT_MS).run();
    await connection.send(
      ENROLMENT_CODEC.encode({ kind: 'enrol', memberId: identity.name, address }),
    );
    const frame = await connection.receive();
    if (frame === undefined) return;
    const response = ENROLMENT_CODEC.decode(frame, controller);
    if (response.kind === 'enrolled')
      logger.info('enrolment answered', { controller, ...response });
  } catch (error) {
    logger.warn('enrolment failed', { controller, reason: String(error) });
  } finally {
    connection?.close();
  }
}
