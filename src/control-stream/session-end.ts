/** Why a daemon's session with one controller ended; also the label value of its counter. */
export type SessionEnd =
  | 'connect_failed'
  | 'handshake_failed'
  /** Nothing arrived for `SOURCE_SILENCE_MS`, or for `WELCOME_TIMEOUT_MS` before the welcome. */
  | 'silent'
  /** The source had no quorum contact for `QUORUM_LEASE_MS`, or never proved itself fresh. */
  | 'cut_off'
  /** The source stayed at a lower revision than the daemon's. */
  | 'behind'
  /** The connection broke, or the source closed it without a goodbye. */
  | 'lost'
  /** The source announced a planned stop. */
  | 'stopping'
  /** The source violated the protocol. */
  | 'malformed'
  /** Another process of the same name has reported a larger incarnation. */
  | 'superseded'
  /** A controller of the daemon's own zone is healthy again. */
  | 'returned'
  /** The daemon stops, or a probe is over. */
  | 'closed';
