/** Whether requests said not to have run did not run, and others ran as often as they may. */
import type { BackendLedgerEntry } from '../ledger/backend-ledger-entry.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { BackendIndex } from './backend-index.js';
import type { Violation } from './violation.js';

function requestKey(entry: CallerLedgerEntry): string {
  return `${entry.service} ${entry.queryDigest}`;
}

function groupByRequest(
  callers: readonly CallerLedgerEntry[],
): ReadonlyMap<string, CallerLedgerEntry[]> {
  const groups = new Map<string, CallerLedgerEntry[]>();
  for (const entry of callers) {
    const group = groups.get(requestKey(entry));
    if (group === undefined) groups.set(requestKey(entry), [entry]);
    else group.push(entry);
  }
  for (const group of groups.values()) group.sort((left, right) => left.sentAt - right.sentAt);
  return groups;
}

/** Whether the router said that nothing of the request was run anywhere. */
function claimsNotRun({ error }: CallerLedgerEntry): boolean {
  return error !== undefined && (error.code === 'refused_not_run' || !error.mayHaveRun);
}

/**
 * Whether a run falls under what the refusal of `sends[position]` says. A
 * resend at the same router is the same request there; runs that another
 * router began before or after are not that router's to know of.
 */
function isCovered(
  run: BackendLedgerEntry,
  sends: readonly CallerLedgerEntry[],
  position: number,
): boolean {
  const refused = sends[position];
  const startedAt = run.startedAt;
  if (refused === undefined || startedAt === undefined) return false;
  const sender = sends.findLast(({ sentAt }) => sentAt <= startedAt) ?? sends[0];
  if (sender === refused) return true;
  const senderPosition = sender === undefined ? -1 : sends.indexOf(sender);
  return senderPosition < position && sender?.target === refused.target;
}

function checkNotRun(index: BackendIndex, sends: readonly CallerLedgerEntry[]): Violation[] {
  const violations: Violation[] = [];
  sends.forEach((entry, position) => {
    if (!claimsNotRun(entry)) return;
    const runs = index.entriesOf(entry.service, entry.queryDigest);
    const run = runs.find((candidate) => isCovered(candidate, sends, position));
    if (run === undefined) return;
    const detail = `said not run, but ${run.replicaId} began it`;
    violations.push({ kind: 'falseNotRun', requestId: entry.requestId, detail });
  });
  return violations;
}

/** Shards that began the request more than once, or began it at two snapshots. */
function findDuplicate(runs: readonly BackendLedgerEntry[]): string | undefined {
  const snapshots = new Set(runs.map(({ snapshot }) => snapshot));
  if (snapshots.size > 1) return `begun at the snapshots ${[...snapshots].join(' and ')}`;
  const shards = new Set<string>();
  for (const { shardId, replicaId } of runs) {
    if (shards.has(shardId)) return `shard ${shardId} began it again at ${replicaId}`;
    shards.add(shardId);
  }
  return undefined;
}

function checkDuplicate(index: BackendIndex, sends: readonly CallerLedgerEntry[]): Violation[] {
  const [first] = sends;
  if (first === undefined || first.repeatable) return [];
  const runs = index
    .entriesOf(first.service, first.queryDigest)
    .filter(({ startedAt }) => startedAt !== undefined);
  const detail = findDuplicate(runs);
  return detail === undefined ? [] : [{ kind: 'duplicateRun', requestId: first.requestId, detail }];
}

/** Finds `falseNotRun` and `duplicateRun`. */
export function checkRuns(index: BackendIndex, callers: readonly CallerLedgerEntry[]): Violation[] {
  const violations: Violation[] = [];
  for (const sends of groupByRequest(callers).values()) {
    violations.push(...checkNotRun(index, sends), ...checkDuplicate(index, sends));
  }
  return violations;
}
