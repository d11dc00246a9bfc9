/** What the requests cost the back ends, from the back ends' own ledger. */
import type { BackendLedgerEntry } from '../ledger/backend-ledger-entry.js';
import type { RequestRecord } from './bench-record.js';

/** Sums over any number of requests. */
export interface WorkSums {
  /** Attempts that reached a back end. */
  attempts: number;
  /** Shards asked. */
  needed: number;
  /** Milliseconds. */
  worked: number;
  /** Of {@link worked}, on replies that are in no answer. Milliseconds. */
  wasted: number;
}

function workedTime(entry: BackendLedgerEntry): number {
  if (entry.startedAt === undefined || entry.endedAt === undefined) return 0;
  return entry.endedAt - entry.startedAt;
}

/** The entry whose reply the answer holds: of several finished ones, the first to end. */
function usedEntry(entries: readonly BackendLedgerEntry[]): BackendLedgerEntry | undefined {
  const finished = entries.filter(({ outcome }) => outcome === 'answered');
  return finished.sort((left, right) => (left.endedAt ?? 0) - (right.endedAt ?? 0))[0];
}

/** Back-end entries by the query they belong to. */
export class BackendWork {
  private readonly byQuery = new Map<string, BackendLedgerEntry[]>();

  constructor(entries: readonly BackendLedgerEntry[]) {
    for (const entry of entries) {
      const known = this.byQuery.get(entry.queryDigest);
      if (known === undefined) this.byQuery.set(entry.queryDigest, [entry]);
      else known.push(entry);
    }
  }

  /** Adds what one request cost to `sums`. */
  add(request: RequestRecord, sums: WorkSums): void {
    const { entry: caller } = request;
    const entries = this.byQuery.get(caller.queryDigest) ?? [];
    const reached = new Set(caller.answer?.coverage.reached ?? []);
    const shardIds = new Set(entries.map(({ shardId }) => shardId));
    sums.attempts += entries.length;
    sums.needed += shardIds.size;
    for (const shardId of shardIds) {
      const ofShard = entries.filter((each) => each.shardId === shardId);
      const worked = ofShard.reduce((sum, each) => sum + workedTime(each), 0);
      const used = reached.has(shardId) ? usedEntry(ofShard) : undefined;
      sums.worked += worked;
      sums.wasted += worked - (used === undefined ? 0 : workedTime(used));
    }
  }
}
