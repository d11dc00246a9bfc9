/** How a daemon's session with one controller ended; also the label of its counter. */
export type SessionEnd =
  | 'connect_failed'
  | 'handshake_failed'
  /** Nothing arrived for `SOURCE_SILENCE_MS`. */
  | 'silent'
  /** The source heard no quorum for `QUORUM_LEASE_MS`, or never proved that it is fresh. */
  | 'cut_off'
  /** The source stayed at a lower revision than the daemon. */
  | 'behind'
  /** The connection broke, or the source closed it without a word. */
  | 'lost'
  /** The source said that it is about to stop. */
  | 'stopping'
  /** The source sent something that the protocol does not allow. */
  | 'malformed'
  /** Another process of the same name has shown a larger incarnation. */
  | 'superseded'
  /** A controller of the own zone is healthy again. */
  | 'returned'
  /** The daemon itself stops. */
  | 'closed';
