/** Compares what callers were told with what back ends did, knowing nothing of the router. */
import { formatSnapshot } from '../../../src/model/snapshot.js';
import type { LedgerEntry } from './fake-backend.js';
import type { FailureRun, SentQuery } from './failure-run.js';

/** A leaving replica gets no new work after this time. Milliseconds. */
const LEAVING_LIMIT = 3_000;

/** What a fake back end answers. */
interface FakeResult {
  readonly requestId: string;
  readonly shardId: string;
  readonly snapshot: string;
}

/** Name of each broken promise and how often it was. */
export type BrokenPromises = Record<string, number>;

/** The caller's request id within the one that back ends see. */
function callerOf(requestId: string): string {
  return requestId.slice(0, requestId.lastIndexOf('~'));
}

function checkAnswer(
  { requestId, revision, reply }: SentQuery,
  broke: (name: string) => void,
): void {
  const { answer } = reply;
  const snapshot = formatSnapshot(answer.snapshot);
  const results = answer.results.map(({ result }) => result as FakeResult);
  if (results.some((result) => result.snapshot !== snapshot)) broke('mixedSnapshot');
  if (results.some((result) => callerOf(result.requestId) !== requestId)) broke('foreignReply');
  const reached = answer.coverage.reached.join();
  if (results.map(({ shardId }) => shardId).join() !== reached) broke('falseCoverage');
  const total = answer.coverage.reached.length + answer.coverage.missing.length;
  if (answer.coverage.reached.length / total < answer.coverage.required) broke('tooFewShards');
  if (answer.settingsRevision < revision) broke('oldSettings');
}

function checkRuns(query: SentQuery, started: LedgerEntry[], broke: (name: string) => void): void {
  const { reply, repeatable } = query;
  if (reply.status !== 200 && !reply.error.mayHaveRun && started.length > 0) broke('falseNotRun');
  if (repeatable) return;
  const shards = started.map(({ shardId }) => shardId);
  if (new Set(shards).size < shards.length) broke('duplicateRun');
}

function checkLeaving(run: FailureRun, broke: (name: string) => void): void {
  for (const { replicaId, incarnation, at } of run.leavings) {
    const late = run.harness
      .backend(replicaId)
      .ledger.filter((entry) => entry.incarnation === incarnation && entry.at > at + LEAVING_LIMIT);
    late.forEach(() => broke('workAfterLeaving'));
  }
}

/** Every promise that the run shows broken. */
export function findBrokenPromises(run: FailureRun): BrokenPromises {
  const broken: BrokenPromises = {};
  const broke = (name: string): void => void (broken[name] = (broken[name] ?? 0) + 1);
  const started = new Map<string, LedgerEntry[]>();
  for (const entry of run.backends.flatMap((backend) => backend.started)) {
    const caller = callerOf(entry.requestId);
    started.set(caller, [...(started.get(caller) ?? []), entry]);
  }
  for (const query of run.queries) {
    if (query.reply.status === 200) checkAnswer(query, broke);
    checkRuns(query, started.get(query.requestId) ?? [], broke);
  }
  checkLeaving(run, broke);
  return broken;
}
