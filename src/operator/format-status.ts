/** The cluster as a person wants to see it. */
import type { StatusReport } from '../administration/response-schemas.js';
import { QUORUM_LEASE_MS } from '../control-stream/stream-timing.js';
import { formatDuration, isSilent } from './format-duration.js';
import { formatTable } from './format-table.js';

function lagOf(behind: number | null, unknown: string): string {
  if (behind === null) return unknown;
  return behind === 0 ? 'up to date' : `${behind} entries behind`;
}

/** The controllers, one a line; the lag of each is known to the leader alone. */
export function formatMembers(
  members: StatusReport['members'],
  leaderId: string | null = null,
  unknownLag = 'known at the leader',
): string {
  const rows = members.map(({ memberId, address, voter, behind }) => [
    memberId,
    memberId === leaderId ? 'leader' : voter ? 'voter' : 'learner',
    address,
    lagOf(behind, unknownLag),
  ]);
  return formatTable(['CONTROLLER', 'ROLE', 'ADDRESS', 'LOG'], rows);
}

function formatQuorum({ sinceQuorumMs }: StatusReport): string {
  if (sinceQuorumMs === null) return 'never heard a quorum';
  return `heard a quorum ${formatDuration(sinceQuorumMs)} ago`;
}

function formatHeard(silentMs: number | undefined): string {
  if (silentMs === undefined) return '?';
  return `${formatDuration(silentMs)} ago${isSilent(silentMs) ? ' (silent)' : ''}`;
}

function hearsNoQuorum({ sinceQuorumMs }: StatusReport): boolean {
  return sinceQuorumMs === null || sinceQuorumMs > QUORUM_LEASE_MS;
}

function formatDaemons({ daemons, force, revision }: StatusReport): string {
  if (force === null) return 'This controller does not keep track of daemons.\n';
  const summary = `Revision ${revision} is in force at ${force.inForce} of ${force.daemons} daemons.\n`;
  if (daemons.length === 0) return summary;
  const rows = daemons.map(({ name, zone, version, revision: held, silentMs }) => [
    name,
    zone ?? '?',
    version ?? '?',
    held >= revision ? String(held) : `${held < 0 ? 'none' : held} (late)`,
    formatHeard(silentMs),
  ]);
  return `${summary}${formatTable(['DAEMON', 'ZONE', 'VERSION', 'REVISION', 'HEARD'], rows)}`;
}

function formatLack({ lackingMs }: StatusReport['routes']['gateways'][number]): string {
  return lackingMs === null ? '' : `for ${formatDuration(lackingMs)}`;
}

/** Gateways, and which of them lack the newest routes; nothing where there are none. */
function formatGateways({ routes }: StatusReport): string {
  const { version, gateways } = routes;
  if (gateways.length === 0) return '';
  const lacking = gateways.filter(({ lackingMs }) => lackingMs !== null);
  const inForce = gateways.length - lacking.length;
  const summary = `Routes ${version ?? 'none'} are in force at ${inForce} of ${gateways.length} gateways.\n`;
  const rows = gateways.map((gateway) => [
    gateway.gateway,
    gateway.zone,
    gateway.version < 0 ? 'none' : String(gateway.version),
    formatLack(gateway),
    gateway.lackingMs === null ? '' : gateway.owedBy.join(', '),
  ]);
  return `\n${summary}${formatTable(['GATEWAY', 'ZONE', 'ROUTES', 'LACKS NEWER', 'OWED BY'], rows)}`;
}

/** What the command learnt of the cluster. */
export interface ClusterStatus extends StatusReport {
  /** Controllers that were asked and gave no answer. */
  readonly unanswered?: readonly { readonly controller: string; readonly reason: string }[];
}

function formatUnanswered({ unanswered = [] }: ClusterStatus): string {
  return unanswered
    .map(({ controller, reason }) => `No answer from ${controller}: ${reason}\n`)
    .join('');
}

export function formatStatus(status: ClusterStatus): string {
  const leader = status.leaderId ?? 'none known';
  const unknownLag = status.role === 'leader' ? 'unknown' : 'known at the leader';
  const head = [
    `Leader: ${leader}, term ${status.term}. Revision ${status.revision}.`,
    `Answered by ${status.memberId} (${status.role}, version ${status.version}), which ${formatQuorum(status)}.`,
    `Log there: ${status.lastIndex} entries, ${status.commitIndex} committed, ${status.appliedIndex} applied.`,
  ].join('\n');
  const warning = hearsNoQuorum(status) ? '\nNo quorum: nothing can be changed now.' : '';
  return `${head}${warning}\n\n${formatMembers(status.members, status.leaderId, unknownLag)}\n${formatDaemons(status)}${formatGateways(status)}${formatUnanswered(status)}`;
}
