/** Tells a peer that broke the protocol from a connection that broke. */
import { ConnectionError } from '../errors/connection-error.js';
import { READ_FRAME_STEP } from '../seams/message-connection.js';
import { MalformedMessageError } from './malformed-message-error.js';

/** Whether the peer sent a malformed message or announced too long a frame. */
export function isProtocolViolation(error: unknown): boolean {
  if (error instanceof MalformedMessageError) return true;
  return error instanceof ConnectionError && error.step === READ_FRAME_STEP;
}
