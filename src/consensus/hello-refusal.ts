/** Why a member turns another's connection away. Sent in words, and a metric label. */
export enum HelloRefusal {
  /** The connection belongs to another cluster. */
  Cluster = 'cluster',
  /** The handshake named another member than the first message. */
  Identity = 'identity',
  /** The member is known by another data folder. */
  Incarnation = 'incarnation',
  /** The member was removed; its id is never used again. */
  Retired = 'retired',
}
