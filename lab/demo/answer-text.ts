/** One answer as a person would like to see it. */
import { formatSnapshot } from '../../src/model/snapshot.js';
import type { Coverage } from '../../src/model/coverage.js';
import type { QueryAnswer } from '../../src/model/query-answer.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { summarizeLoad } from '../load/load-summary.js';

function countMatches({ results }: QueryAnswer): number {
  const matches = results.map(({ result }) => (result as { matches?: number }).matches ?? 0);
  return matches.reduce((total, count) => total + count, 0);
}

function count(number: number, noun: string, plural = `${noun}s`): string {
  return `${number} ${number === 1 ? noun : plural}`;
}

function describeCoverage({ reached, missing }: Coverage): string {
  const shards = `${reached.length} of ${count(reached.length + missing.length, 'shard')}`;
  if (missing.length === 0) return shards;
  const reasons = missing.map(({ shardId, reason }) => `${shardId} ${reason}`);
  return `${shards} (missing: ${reasons.join(', ')})`;
}

function describeAttempts({ attempts }: QueryAnswer): string {
  const { primary, hedges, retries } = attempts;
  const extra = [
    ...(hedges === 0 ? [] : [count(hedges, 'hedge')]),
    ...(retries === 0 ? [] : [count(retries, 'retry', 'retries')]),
  ];
  const total = count(primary + hedges + retries, 'attempt');
  return extra.length === 0 ? total : `${total} with ${extra.join(' and ')}`;
}

/** How often each outcome came, the most frequent first. */
export function describeOutcomes(entries: readonly CallerLedgerEntry[]): string {
  const { outcomes } = summarizeLoad(entries);
  return Object.entries(outcomes)
    .sort(([, one], [, other]) => other - one)
    .map(([outcome, number]) => `${number} ${outcome}`)
    .join(', ');
}

function describeError({ outcome, error }: CallerLedgerEntry): string {
  const coverage = error?.coverage === undefined ? '' : `, ${describeCoverage(error.coverage)}`;
  return `${outcome}: ${error?.message ?? 'no response'}${coverage}`;
}

/** Two lines: what was asked, and what came of it. */
export function describeAnswer(entry: CallerLedgerEntry, text: string): string {
  const { service, target, latencyMs, answer, repeatable, keyed } = entry;
  const traits = [...(keyed ? ['one shard by key'] : []), ...(repeatable ? [] : ['at most once'])];
  const note = traits.length === 0 ? '' : ` (${traits.join(', ')})`;
  const head = `${service} "${text}"${note}, by ${target} in ${latencyMs.toFixed(0)} ms`;
  if (answer === undefined) return `${head}\n    ${describeError(entry)}`;
  const facts = [
    `${countMatches(answer)} matches from ${describeCoverage(answer.coverage)}`,
    `snapshot ${formatSnapshot(answer.snapshot)}`,
    `settings revision ${answer.settingsRevision}`,
    describeAttempts(answer),
  ];
  return `${head}\n    ${facts.join(', ')}`;
}
