/** A relay's shards, asked by the leaves of its zone: several groups as one source. */
import type { LogFields } from '../observability/logger.js';
import type { LeafSource } from './leaf-source.js';
import type { GroupGather } from './group-gather.js';

/** See the module comment. */
export class RelayedGather implements LeafSource {
  constructor(private readonly groups: readonly GroupGather[]) {}

  start(): void {
    for (const group of this.groups) group.start();
  }

  cancel(reason: string): void {
    for (const group of this.groups) group.cancel(reason);
  }

  /** The root has granted second sendings: what waits for that in any group goes on. */
  hedge(): void {
    for (const group of this.groups) group.handleGrant();
  }

  get sends(): number {
    return this.groups.reduce((sum, { sends }) => sum + sends, 0);
  }

  get mayHaveSent(): boolean {
    return this.groups.some(({ mayHaveSent: isOffered }) => isOffered);
  }

  get mayRun(): boolean {
    return this.groups.some(({ mayRun }) => mayRun);
  }

  missingAttempts(receivedAt: number): readonly LogFields[] {
    return this.groups.flatMap((group) => group.missingAttempts(receivedAt));
  }
}
