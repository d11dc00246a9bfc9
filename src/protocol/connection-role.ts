/** What an internal connection is opened for; the accepting controller routes it by this. */

/** Stated by the side that opens the connection, and proven with the shared key. */
export type ConnectionRole =
  /** A controller, for the messages of the replicated log. */
  | 'consensus'
  /** A controller, for what daemons reported to it. */
  | 'exchange'
  /** A daemon that follows the configuration. */
  | 'subscriber'
  /** A gateway or a controller, for replicas' registrations and the route document. */
  | 'directory'
  /** A gateway, for the shards that another gateway asks for it. */
  | 'aggregation'
  /** A gateway, for tokens of tenants. */
  | 'quota'
  /** A controller that wants to become a member of the group. */
  | 'enrolment';

export const CONNECTION_ROLES: readonly ConnectionRole[] = [
  'consensus',
  'exchange',
  'subscriber',
  'directory',
  'aggregation',
  'quota',
  'enrolment',
];

/** Whether `text`, as received, names a role. */
export function isConnectionRole(text: string): text is ConnectionRole {
  return (CONNECTION_ROLES as readonly string[]).includes(text);
}
