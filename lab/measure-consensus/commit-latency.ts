/** Latency of an accepted change against one sync of the same disk, reading by reading. */
import { open } from 'node:fs/promises';
import { join } from 'node:path';
import { quantile } from '../measure/spread.js';
import type { ControllerGroup } from './controller-group.js';

/** Bytes that the leader writes for one change of one key, more or less. */
const WRITTEN_BYTES = 400;

/** One round of readings. Milliseconds. */
export interface LatencyRound {
  readonly syncMedian: number;
  readonly changeMedian: number;
  readonly change99: number;
  /** Median of a change over median of a sync. */
  readonly ratio: number;
}

async function elapsed(operation: () => Promise<unknown>): Promise<number> {
  const startedAt = performance.now();
  await operation();
  return performance.now() - startedAt;
}

/** Appends and syncs, then makes a change, in turn; one round for each median. */
export async function measureCommitLatency(
  group: ControllerGroup,
  rounds: number,
  changesPerRound: number,
): Promise<LatencyRound[]> {
  const file = await open(join(group.folder, 'sync-probe'), 'a');
  const bytes = Buffer.alloc(WRITTEN_BYTES, 1);
  const client = group.operator([group.controller(await group.leader())]);
  const results: LatencyRound[] = [];
  for (let round = 0; round < rounds; round += 1) {
    const syncs: number[] = [];
    const changes: number[] = [];
    for (let number = 0; number < changesPerRound; number += 1) {
      syncs.push(
        await elapsed(async () => {
          await file.write(bytes);
          await file.datasync();
        }),
      );
      changes.push(await elapsed(() => group.accept(client)));
    }
    const [syncMedian, changeMedian] = [quantile(syncs, 0.5), quantile(changes, 0.5)];
    const ratio = changeMedian / syncMedian;
    results.push({ syncMedian, changeMedian, change99: quantile(changes, 0.99), ratio });
  }
  client.close();
  await file.close();
  return results;
}
