/** What is printed of a seed. */
import { hasFailed, type SeedResult } from './seed-result.js';
import { replayCommand, type SimulateOptions } from './simulate-options.js';
import { formatTimeline } from './timeline.js';

/** Failures listed of one seed; the rest is counted. */
const MOST_LISTED = 10;

/** One line. */
export function formatSeedLine(result: SeedResult): string {
  const { seed, requests, changes, faults, violations, liveness, digest } = result;
  const verdict = hasFailed(result)
    ? `FAILED: ${violations.length} violations, ${liveness.length} not come back`
    : 'passed';
  const sizes = `${requests} requests, ${changes} changes, ${faults.length} faults`;
  return `seed ${seed}: ${sizes}, digest ${digest}: ${verdict}`;
}

function listFailures({ violations, liveness }: SeedResult): string[] {
  const lines = [
    ...violations.map(({ kind, requestId, detail }) => `  ${kind} ${requestId}: ${detail}`),
    ...liveness.map((text) => `  not come back: ${text}`),
  ];
  const rest = lines.length - MOST_LISTED;
  return rest <= 0 ? lines : [...lines.slice(0, MOST_LISTED), `  and ${rest} more`];
}

/** What is wrong, the command that replays it, and the timeline when asked for. */
export function formatFailure(
  result: SeedResult,
  options: SimulateOptions,
  withTimeline: boolean,
): string {
  const lines = hasFailed(result)
    ? [...listFailures(result), `  replay: ${replayCommand(result.seed, options)}`]
    : [];
  if (withTimeline) lines.push(formatTimeline(result.timeline));
  return lines.join('\n');
}
