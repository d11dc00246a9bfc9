/** Combines the groups of a relay's shards, queried by the leaves of its zone, into one source. */
import type { LogFields } from '../observability/logger.js';
import type { LeafSource } from './leaf-source.js';
import type { GroupGather } from './group-gather.js';

/** Delegates to the groups; parts go from each group to the listener directly. */
export class RelayedGather implements LeafSource {
  constructor(private readonly groups: readonly GroupGather[]) {}

  start(): void {
    for (const group of this.groups) group.start();
  }

  cancel(reason: string): void {
    for (const group of this.groups) group.cancel(reason);
  }

  /** Passes the root's grant on to all groups. */
  hedge(): void {
    for (const group of this.groups) group.handleGrant();
  }

  get sends(): number {
    return this.groups.reduce((sum, { sends }) => sum + sends, 0);
  }

  get shardsQueriedHere(): number {
    return this.groups.reduce((sum, group) => sum + group.shardsQueriedHere, 0);
  }

  get mayHaveSent(): boolean {
    return this.groups.some(({ mayHaveSent }) => mayHaveSent);
  }

  get mayRun(): boolean {
    return this.groups.some(({ mayRun }) => mayRun);
  }

  missingAttempts(receivedAt: number): readonly LogFields[] {
    return this.groups.flatMap((group) => group.missingAttempts(receivedAt));
  }
}
