/** The cluster as a person wants to see it. */
import type { StatusReport } from '../administration/response-schemas.js';
import { formatTable } from './format-table.js';

function lagOf(status: StatusReport, behind: number | null): string {
  if (behind !== null) return behind === 0 ? 'up to date' : `${behind} entries behind`;
  return status.role === 'leader' ? 'unknown' : 'known at the leader';
}

function formatMembers(status: StatusReport): string {
  const rows = status.members.map(({ memberId, address, voter, behind }) => [
    memberId,
    memberId === status.leaderId ? 'leader' : voter ? 'voter' : 'learner',
    address,
    lagOf(status, behind),
  ]);
  return formatTable(['CONTROLLER', 'ROLE', 'ADDRESS', 'LOG'], rows);
}

function formatQuorum({ sinceQuorumMs }: StatusReport): string {
  if (sinceQuorumMs === null) return 'never heard a quorum';
  return `heard a quorum ${Math.round(sinceQuorumMs)} ms ago`;
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
    silentMs === undefined ? '?' : `${Math.round(silentMs)} ms ago`,
  ]);
  return `${summary}${formatTable(['DAEMON', 'ZONE', 'VERSION', 'REVISION', 'HEARD'], rows)}`;
}

export function formatStatus(status: StatusReport): string {
  const leader = status.leaderId ?? 'none known';
  const head = [
    `Leader: ${leader}, term ${status.term}. Revision ${status.revision}.`,
    `Answered by ${status.memberId} (${status.role}, version ${status.version}), which ${formatQuorum(status)}.`,
    `Log there: ${status.lastIndex} entries, ${status.commitIndex} committed, ${status.appliedIndex} applied.`,
  ].join('\n');
  return `${head}\n\n${formatMembers(status)}\n${formatDaemons(status)}`;
}
