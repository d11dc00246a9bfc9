/** Whether the coverage an answer or an error states is true. */
import type { Coverage } from '../../src/model/coverage.js';
import type { QueryAnswer } from '../../src/model/query-answer.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { BackendIndex } from './backend-index.js';
import type { Violation } from './violation.js';

const FRACTION_TOLERANCE = 1e-6;

/** What is wrong with the statement itself, whatever it is about; undefined when nothing is. */
function findInconsistency(coverage: Coverage): string | undefined {
  const reached = new Set(coverage.reached);
  const missing = coverage.missing.map(({ shardId }) => shardId);
  const named = new Set([...reached, ...missing]);
  const total = coverage.reached.length + missing.length;
  if (named.size !== total) return 'a shard is named twice';
  const fraction = total === 0 ? 0 : coverage.reached.length / total;
  if (Math.abs(fraction - coverage.fraction) > FRACTION_TOLERANCE) {
    return `the fraction is stated as ${coverage.fraction}, but is ${fraction}`;
  }
  return undefined;
}

/** A shard that the layout has and the statement leaves out, or the other way round. */
function findLayoutError(layout: ReadonlySet<string>, coverage: Coverage): string | undefined {
  const missing = coverage.missing.map(({ shardId }) => shardId);
  const named = new Set([...coverage.reached, ...missing]);
  const omitted = [...layout].find((shardId) => !named.has(shardId));
  if (omitted !== undefined) return `shard ${omitted} is named neither reached nor missing`;
  const invented = coverage.reached.find((shardId) => !layout.has(shardId));
  if (invented !== undefined) return `shard ${invented} is said to be reached, but nobody holds it`;
  return undefined;
}

/** A query aimed at one shard is about that shard alone. */
function findKeyedError(layout: ReadonlySet<string>, coverage: Coverage): string | undefined {
  const named = [...coverage.reached, ...coverage.missing.map(({ shardId }) => shardId)];
  if (named.length !== 1) return `a query of one shard names ${named.length}`;
  const invented = coverage.reached.find((shardId) => !layout.has(shardId));
  return invented === undefined ? undefined : `nobody holds shard ${invented}`;
}

function findAnswerError(
  index: BackendIndex,
  entry: CallerLedgerEntry,
  answer: QueryAnswer,
): string | undefined {
  const { coverage, results, snapshot, service } = answer;
  const merged = results.map(({ shardId }) => shardId);
  if (JSON.stringify(merged) !== JSON.stringify(coverage.reached)) {
    return `results of [${merged.join(' ')}], but reached [${coverage.reached.join(' ')}]`;
  }
  const unanswered = coverage.reached.find(
    (shardId) => !index.wasAnswered(service, entry.queryDigest, shardId, snapshot),
  );
  if (unanswered !== undefined) return `no back end answered for shard ${unanswered}`;
  if (coverage.fraction + FRACTION_TOLERANCE < coverage.required) {
    return `an answer of ${coverage.fraction}, where ${coverage.required} is required`;
  }
  if (coverage.required < (entry.requiredCoverage ?? 0)) {
    return `${coverage.required} was required, though the caller asked for more`;
  }
  return undefined;
}

function findCoverageError(index: BackendIndex, entry: CallerLedgerEntry): string | undefined {
  const { answer, error } = entry;
  const coverage = answer?.coverage ?? error?.coverage;
  if (coverage === undefined) return undefined;
  const inconsistency = findInconsistency(coverage);
  if (inconsistency !== undefined) return inconsistency;
  if (answer === undefined) return undefined;
  const layout = index.shardsOf(entry.service, answer.snapshot.layoutEpoch);
  const layoutError = entry.keyed
    ? findKeyedError(layout, coverage)
    : findLayoutError(layout, coverage);
  return layoutError ?? findAnswerError(index, entry, answer);
}

/** Finds `falseCoverage`, at most once a request. */
export function checkCoverage(
  index: BackendIndex,
  callers: readonly CallerLedgerEntry[],
): Violation[] {
  return callers.flatMap((entry) => {
    const detail = findCoverageError(index, entry);
    if (detail === undefined) return [];
    return [{ kind: 'falseCoverage' as const, requestId: entry.requestId, detail }];
  });
}
