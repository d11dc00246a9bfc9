/** Changes and what became of them. */
import type {
  ChangeReport,
  ChangeResult,
  Force,
  HistoryReport,
} from '../administration/response-schemas.js';
import { formatDuration, isSilent } from './format-duration.js';
import { formatDifferences, formatOperation } from './format-operation.js';
import { formatTime } from './format-table.js';

type ListedChange = HistoryReport['changes'][number];

function authorOf({ author, team }: ListedChange): string {
  return team === undefined ? `${author} (bootstrap token)` : `${author} (team ${team})`;
}

function formatLate({ name, zone, revision, silentMs }: Force['late'][number]): string {
  const where = zone === undefined ? '' : ` in ${zone}`;
  const heard = isSilent(silentMs) ? `, not heard for ${formatDuration(silentMs)}` : '';
  const held = revision < 0 ? 'none' : revision;
  return `  late: ${name}${where} at ${held}${heard}\n`;
}

export function formatForce({ revision, daemons, inForce, late }: Force): string {
  const head = `revision ${revision} is in force at ${inForce} of ${daemons} daemons\n`;
  return head + late.map(formatLate).join('');
}

export function formatChange(change: ListedChange): string {
  const { revision, changeId, acceptedAt, reason, operations } = change;
  const head = `revision ${revision}  ${formatTime(acceptedAt)}  ${authorOf(change)}\n`;
  const lines = operations.map((operation) => `    ${formatOperation(operation)}\n`);
  return `${head}  change ${changeId}: ${reason}\n${lines.join('')}`;
}

export function formatResult(result: ChangeResult): string {
  const { changeId, revision, repeated, dryRun, differences } = result;
  if (dryRun) {
    return `would be accepted as revision ${revision}; nothing was changed\n${formatDifferences(differences ?? [])}`;
  }
  const again = repeated ? ' (by an earlier sending)' : '';
  return `change ${changeId} accepted as revision ${revision}${again}\n`;
}

export function formatReport({ changeId, outcome, reason, change, force }: ChangeReport): string {
  const why = reason === undefined ? '' : `: ${reason}`;
  const head = `change ${changeId}: ${outcome}${why}\n`;
  const detail = change === undefined ? '' : formatChange(change);
  return head + detail + (force === undefined ? '' : formatForce(force));
}
