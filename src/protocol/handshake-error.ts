/** The handshake of an internal connection failed; the connection is closed. */
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';

/** Why a connection was not opened; also the label of the counter. */
export type HandshakeFailure =
  | 'malformed'
  | 'wrong_cluster'
  | 'wrong_version'
  | 'wrong_role'
  | 'wrong_key'
  /** Another controller answers at the address. */
  | 'wrong_member'
  | 'timeout'
  | 'closed';

export const HANDSHAKE_FAILURES: readonly HandshakeFailure[] = [
  'malformed',
  'wrong_cluster',
  'wrong_version',
  'wrong_role',
  'wrong_key',
  'wrong_member',
  'timeout',
  'closed',
];

/** Nothing but the handshake has passed over the connection. */
export class HandshakeError extends DriftwayError {
  constructor(
    readonly reason: HandshakeFailure,
    peer: string,
    message: string,
    cause?: unknown,
  ) {
    super(message, { step: 'handshake', peer, labels: [ErrorLabel.Transient], cause });
  }
}
