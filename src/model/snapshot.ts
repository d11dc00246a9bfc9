/** The one state of a service's data that an answer is drawn from. */

/** A shard layout together with an index version. */
export interface Snapshot {
  /** Which partition of the data into shards; grows with every repartition. */
  readonly layoutEpoch: number;
  /** Which published version of the index; grows with every publish. */
  readonly indexVersion: number;
}

export function snapshotsEqual(left: Snapshot, right: Snapshot): boolean {
  return left.layoutEpoch === right.layoutEpoch && left.indexVersion === right.indexVersion;
}

/** Orders by layout epoch, then by index version; positive when `left` is newer. */
export function compareSnapshots(left: Snapshot, right: Snapshot): number {
  return left.layoutEpoch - right.layoutEpoch || left.indexVersion - right.indexVersion;
}

/** `epoch.version`, the form used in headers and logs. */
export function formatSnapshot(snapshot: Snapshot): string {
  return `${snapshot.layoutEpoch}.${snapshot.indexVersion}`;
}

/** Reads what {@link formatSnapshot} writes; undefined when it is anything else. */
export function parseSnapshot(text: string): Snapshot | undefined {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  if (match === null) return undefined;
  return { layoutEpoch: Number(match[1]), indexVersion: Number(match[2]) };
}
