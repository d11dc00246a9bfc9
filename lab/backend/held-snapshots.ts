/** The snapshots a stand-in back end can answer from, and its shards in each layout. */
import { compareSnapshots, formatSnapshot, type Snapshot } from '../../src/model/snapshot.js';

interface HeldSnapshot {
  readonly snapshot: Snapshot;
  readonly shardIds: readonly string[];
}

/** Keeps the newest few snapshots. */
export class HeldSnapshots {
  private held: HeldSnapshot[] = [];

  constructor(private readonly keptSnapshots: number) {}

  /** Adds a snapshot, replacing an equal one, and drops the oldest beyond the number kept. */
  add(snapshot: Snapshot, shardIds: readonly string[]): void {
    const others = this.held.filter((held) => compareSnapshots(held.snapshot, snapshot) !== 0);
    this.held = [...others, { snapshot, shardIds }]
      .sort((left, right) => compareSnapshots(right.snapshot, left.snapshot))
      .slice(0, this.keptSnapshots);
  }

  /** Whether the shard can be queried at `snapshot`, given as `epoch.version`. */
  holds(snapshot: string, shardId: string): boolean {
    return this.held.some(
      (held) => formatSnapshot(held.snapshot) === snapshot && held.shardIds.includes(shardId),
    );
  }

  /** Newest first; undefined when nothing is held. */
  get newest(): HeldSnapshot | undefined {
    return this.held[0];
  }

  /** As `epoch.version`, newest first. */
  list(): string[] {
    return this.held.map(({ snapshot }) => formatSnapshot(snapshot));
  }
}
