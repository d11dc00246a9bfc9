/** A request's story as a person reads it. */
import { formatTime } from '../operator/format-table.js';
import type { RequestStory, StoryAttempt, StoryBelief, StoryChapter } from './request-story.js';

/** Facts that are told elsewhere in the text, or to nobody. */
const HIDDEN_FACTS: ReadonlySet<string> = new Set([
  'requestId',
  'gateway',
  'attempts',
  'missingAttempts',
  'logLevel',
  'omitted',
]);

function formatFact(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function formatFacts(facts: Readonly<Record<string, unknown>>): string {
  return Object.entries(facts)
    .filter(([name]) => !HIDDEN_FACTS.has(name))
    .map(([name, value]) => `${name}=${formatFact(value)}`)
    .join(' ');
}

/** A group of shards that another gateway was asked for. */
function formatGather(attempt: StoryAttempt): string {
  const { leaf, missing, sentAtMs, tookMs, result, ...facts } = attempt;
  const took = tookMs === undefined ? '' : ` after ${formatFact(tookMs)} ms`;
  const head = `sent at ${formatFact(sentAtMs)} ms to gateway ${formatFact(leaf)}`;
  const lacking = `${formatFact(missing)} shards of the group are missing`;
  return `  ${head}: ${formatFact(result)}${took}, ${lacking}\n    ${formatFacts(facts)}\n`;
}

function formatAttempt(attempt: StoryAttempt): string {
  if (attempt['leaf'] !== undefined) return formatGather(attempt);
  const { replicaId, service, sentAtMs, tookMs, result, ...inputs } = attempt;
  const shard = service === undefined ? '' : ` of ${formatFact(service)}`;
  const took = tookMs === undefined ? '' : ` after ${formatFact(tookMs)} ms`;
  const head = `sent at ${formatFact(sentAtMs)} ms to ${formatFact(replicaId)}${shard}`;
  return `  ${head}: ${formatFact(result)}${took}\n    chosen by ${formatFacts(inputs)}\n`;
}

function formatBelief({ beforeMs, line }: StoryBelief): string {
  return `    ${Math.round(beforeMs)} ms before: ${line.message} ${formatFacts(line.context)}\n`;
}

function formatChapter({ line, attempts, beliefs }: StoryChapter): string {
  const gateway = formatFact(line.context['gateway'] ?? 'unknown');
  const head = `${formatTime(line.time)} ${line.message} at gateway ${gateway}\n`;
  const known = beliefs.length === 0 ? '' : '  what it went by:\n';
  return [
    head,
    `  ${formatFacts(line.context)}\n`,
    ...attempts.map(formatAttempt),
    known,
    ...beliefs.map(formatBelief),
  ].join('');
}

/** The whole story; says so when there is none. */
export function formatStory({ requestId, chapters, linesLeftOut }: RequestStory): string {
  if (chapters.length > 0) return chapters.map(formatChapter).join('\n');
  const omitted = `daemons left ${linesLeftOut} lines out of what was read`;
  return `no line names request ${requestId}; ${omitted}\n`;
}
