/** A loss report as a person reads it. */
import { formatTable, formatTime } from '../operator/format-table.js';
import type { LossReport, LossRow } from './loss-report.js';

const HEADER = ['requests', 'shards missing', 'route', 'cause', 'first', 'last'];

function formatRow({ requests, missingShards, route, cause, firstAt, lastAt }: LossRow): string[] {
  const times = [formatTime(firstAt), formatTime(lastAt)];
  return [String(requests), String(missingShards), route, cause, ...times];
}

export function formatLosses({ rows, decisions, linesLeftOut }: LossReport): string {
  const summary = `${decisions} lines about requests, ${linesLeftOut} more were left out by their writers\n`;
  return rows.length === 0 ? summary : summary + formatTable(HEADER, rows.map(formatRow));
}
