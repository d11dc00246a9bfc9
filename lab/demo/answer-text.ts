/** One answer as a person would like to see it. */
import { formatSnapshot } from '../../src/model/snapshot.js';
import type { QueryAnswer } from '../../src/model/query-answer.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';

function countMatches({ results }: QueryAnswer): number {
  const matches = results.map(({ result }) => (result as { matches?: number }).matches ?? 0);
  return matches.reduce((total, count) => total + count, 0);
}

function describeCoverage({ coverage }: QueryAnswer): string {
  const { reached, missing } = coverage;
  const all = reached.length + missing.length;
  const shards = `${reached.length} of ${all} ${all === 1 ? 'shard' : 'shards'}`;
  if (missing.length === 0) return shards;
  const reasons = missing.map(({ shardId, reason }) => `${shardId} ${reason}`);
  return `${shards} (missing: ${reasons.join(', ')})`;
}

function describeAttempts({ attempts }: QueryAnswer): string {
  const { primary, hedges, retries } = attempts;
  const total = primary + hedges + retries;
  const extra = hedges + retries === 0 ? '' : `, ${hedges} hedges and ${retries} retries of them`;
  return `${total} ${total === 1 ? 'attempt' : 'attempts'}${extra}`;
}

/** Two lines: what was asked, and what came of it. */
export function describeAnswer(entry: CallerLedgerEntry, text: string): string {
  const { service, target, latencyMs, answer, outcome, error, repeatable, keyed } = entry;
  const traits = [...(keyed ? ['one shard by key'] : []), ...(repeatable ? [] : ['at most once'])];
  const note = traits.length === 0 ? '' : ` (${traits.join(', ')})`;
  const head = `${service} "${text}"${note}, by ${target} in ${latencyMs.toFixed(0)} ms`;
  if (answer === undefined) return `${head}\n    ${outcome}: ${error?.message ?? 'no response'}`;
  const facts = [
    `${countMatches(answer)} matches from ${describeCoverage(answer)}`,
    `snapshot ${formatSnapshot(answer.snapshot)}`,
    `settings revision ${answer.settingsRevision}`,
    describeAttempts(answer),
  ];
  return `${head}\n    ${facts.join(', ')}`;
}
