/** Why a member turns another's connection away. Sent in words, and a metric label. */
export enum HelloRefusal {
  /** The connection belongs to another cluster. */
  Cluster = 'cluster',
  /** The handshake named another member than the first message. */
  Identity = 'identity',
  /** The member is known by another data folder. */
  Incarnation = 'incarnation',
  /** The member is being removed; that may still come to nothing. */
  Retiring = 'retiring',
  /** The member was removed for good; its id is never used again. */
  Retired = 'retired',
}
