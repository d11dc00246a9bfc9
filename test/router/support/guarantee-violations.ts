/** Compares what callers were told with what back ends did, knowing nothing of the router. */
import { formatSnapshot } from '../../../src/model/snapshot.js';
import type { RecordedAttempt } from './fake-backend.js';
import type { FailureRun, SentQuery } from './failure-run.js';

/** A leaving replica gets no new work after this time. Milliseconds. */
const DRAIN_NOTICE_LIMIT_MS = 3_000;

/** What a fake back end answers. */
interface FakeResult {
  readonly requestId: string;
  readonly shardId: string;
  readonly snapshot: string;
}

/** Name of each broken promise and how often it was. */
export type GuaranteeViolations = Record<string, number>;

/** The caller's request id within the one that back ends see. */
function callerRequestId(requestId: string): string {
  return requestId.slice(0, requestId.lastIndexOf('~'));
}

function checkAnswer(
  { requestId, revision, reply }: SentQuery,
  report: (name: string) => void,
): void {
  const { answer } = reply;
  const snapshot = formatSnapshot(answer.snapshot);
  const results = answer.results.map(({ result }) => result as FakeResult);
  if (results.some((result) => result.snapshot !== snapshot)) report('mixedSnapshot');
  if (results.some((result) => callerRequestId(result.requestId) !== requestId))
    report('foreignReply');
  const reached = answer.coverage.reached.join();
  if (results.map(({ shardId }) => shardId).join() !== reached) report('falseCoverage');
  const total = answer.coverage.reached.length + answer.coverage.missing.length;
  if (answer.coverage.reached.length / total < answer.coverage.required) report('tooFewShards');
  if (answer.settingsRevision < revision) report('oldSettings');
}

function checkRuns(
  query: SentQuery,
  started: RecordedAttempt[],
  report: (name: string) => void,
): void {
  const { reply, repeatable } = query;
  if (reply.status !== 200 && !reply.error.mayHaveRun && started.length > 0) report('falseNotRun');
  if (repeatable) return;
  const shards = started.map(({ shardId }) => shardId);
  if (new Set(shards).size < shards.length) report('duplicateRun');
}

function checkDepartures(run: FailureRun, report: (name: string) => void): void {
  for (const { replicaId, incarnation, at } of run.departures) {
    const late = run.harness
      .backend(replicaId)
      .attempts.filter(
        (entry) => entry.incarnation === incarnation && entry.at > at + DRAIN_NOTICE_LIMIT_MS,
      );
    late.forEach(() => report('workAfterLeaving'));
  }
}

/** Every promise that the run shows broken. */
export function findGuaranteeViolations(run: FailureRun): GuaranteeViolations {
  const violations: GuaranteeViolations = {};
  const report = (name: string): void => void (violations[name] = (violations[name] ?? 0) + 1);
  const started = new Map<string, RecordedAttempt[]>();
  for (const entry of run.backends.flatMap((backend) => backend.started)) {
    const caller = callerRequestId(entry.requestId);
    started.set(caller, [...(started.get(caller) ?? []), entry]);
  }
  for (const query of run.queries) {
    if (query.reply.status === 200) checkAnswer(query, report);
    checkRuns(query, started.get(query.requestId) ?? [], report);
  }
  checkDepartures(run, report);
  return violations;
}
