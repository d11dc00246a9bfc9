/** A consistent state of a service's data; every answer comes from one snapshot. */

/** A shard layout together with an index version. */
export interface Snapshot {
  /** Identifies the partition of the data into shards; increases with every repartition. */
  readonly layoutEpoch: number;
  /** Identifies the published version of the index; increases with every publish. */
  readonly indexVersion: number;
}

export function snapshotsEqual(left: Snapshot, right: Snapshot): boolean {
  return left.layoutEpoch === right.layoutEpoch && left.indexVersion === right.indexVersion;
}

/** Orders by layout epoch, then by index version; positive when `left` is newer. */
export function compareSnapshots(left: Snapshot, right: Snapshot): number {
  return left.layoutEpoch - right.layoutEpoch || left.indexVersion - right.indexVersion;
}

/** Formats a snapshot as `epoch.version`, the form used in headers and logs. */
export function formatSnapshot(snapshot: Snapshot): string {
  return `${snapshot.layoutEpoch}.${snapshot.indexVersion}`;
}

/** Parses the output of {@link formatSnapshot}; undefined for any other text. */
export function parseSnapshot(text: string): Snapshot | undefined {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  if (match === null) return undefined;
  return { layoutEpoch: Number(match[1]), indexVersion: Number(match[2]) };
}
