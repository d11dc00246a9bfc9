/** The back ends' ledger, arranged for look-up. */
import { formatSnapshot, type Snapshot } from '../../src/model/snapshot.js';
import type { BackendLedgerEntry } from '../ledger/backend-ledger-entry.js';
import type { BackendEvidence } from './audit-evidence.js';

function layoutKey(service: string, layoutEpoch: number): string {
  return `${service} ${layoutEpoch}`;
}

/** Built once for an audit. */
export class BackendIndex {
  private readonly byQuery = new Map<string, BackendLedgerEntry[]>();
  private readonly byResult = new Map<string, BackendLedgerEntry>();
  private readonly layouts = new Map<string, Set<string>>();

  constructor(evidence: BackendEvidence) {
    for (const entry of evidence.entries) this.add(entry);
    for (const { service, snapshot, shardIds } of evidence.holdings) {
      const key = layoutKey(service, snapshot.layoutEpoch);
      const shards = this.layouts.get(key) ?? new Set();
      for (const shardId of shardIds) shards.add(shardId);
      this.layouts.set(key, shards);
    }
  }

  /** Everything any back end noted of the query. */
  entriesOf(service: string, queryDigest: string): readonly BackendLedgerEntry[] {
    return (this.byQuery.get(queryDigest) ?? []).filter((entry) => entry.service === service);
  }

  /** An entry that produced the result. */
  originOf(resultDigest: string): BackendLedgerEntry | undefined {
    return this.byResult.get(resultDigest);
  }

  /** Shards that any back end ever held of the layout. */
  shardsOf(service: string, layoutEpoch: number): ReadonlySet<string> {
    return this.layouts.get(layoutKey(service, layoutEpoch)) ?? new Set();
  }

  /** Whether a back end answered the query for the shard at the snapshot. */
  wasAnswered(service: string, queryDigest: string, shardId: string, snapshot: Snapshot): boolean {
    const wanted = formatSnapshot(snapshot);
    return this.entriesOf(service, queryDigest).some(
      (entry) =>
        entry.outcome === 'answered' && entry.shardId === shardId && entry.snapshot === wanted,
    );
  }

  private add(entry: BackendLedgerEntry): void {
    const sameQuery = this.byQuery.get(entry.queryDigest);
    if (sameQuery === undefined) this.byQuery.set(entry.queryDigest, [entry]);
    else sameQuery.push(entry);
    if (entry.resultDigest !== undefined) this.byResult.set(entry.resultDigest, entry);
  }
}
