/** An error as an operator wants to read it: what failed, whether anything changed, what to do. */
import type { OperatorError } from './operator-error.js';
import { formatValue } from './format-operation.js';

const CHANGED_TEXT = {
  no: 'Nothing was changed.',
  unknown: 'It is not known whether anything was changed.',
} as const;

/** Several lines, the last one ended. */
export function formatError({ error, peer }: OperatorError): string {
  const isNamed = peer === undefined || error.message.includes(peer);
  const where = isNamed ? '' : ` (controller ${peer})`;
  const lines = [`error: ${error.message}${where}`, CHANGED_TEXT[error.changed]];
  const { code, conflict, retryAfterMs } = error;
  if (conflict !== undefined) {
    lines.push(`There now, at revision ${conflict.currentRevision}:`);
    for (const { path, value } of conflict.current) lines.push(`  ${path}: ${formatValue(value)}`);
    lines.push(`Accepted since revision ${conflict.baseRevision}:`);
    const changes = conflict.changesSinceBase;
    if (changes === null) lines.push('  more than is kept');
    for (const { revision, changeId, author, reason } of changes ?? []) {
      lines.push(`  ${revision}  ${changeId}  ${author}: ${reason}`);
    }
  }
  if (code === 'unauthorized') lines.push('Set DRIFTWAY_TOKEN, or give --token.');
  if (retryAfterMs !== undefined) lines.push(`Worth trying again in ${retryAfterMs} ms.`);
  return `${lines.join('\n')}\n`;
}
