/**
 * Gives up a data folder whose member the group removed. The mark comes first
 * and goes last, so that a folder is never half of what it was: one that is
 * marked is emptied before anything else is read from it.
 */
import type { Disk } from '../seams/disk.js';
import { LOG_DIRECTORY } from './segment-name.js';

const ROOT = '.';
const SNAPSHOT_DIRECTORY = 'snapshots';
const MARK = 'discarded';
const CONTENT_DIRECTORIES = [LOG_DIRECTORY, SNAPSHOT_DIRECTORY];

/** Marks the folder; durable once the promise resolves. */
export async function markDiscarded(disk: Disk): Promise<void> {
  await disk.writeAndSync(MARK, new TextEncoder().encode('removed from the group\n'));
  await disk.syncDirectory(ROOT);
}

/** Empties a marked folder; true when it was marked. */
export async function emptyIfDiscarded(disk: Disk): Promise<boolean> {
  if ((await disk.read(MARK)) === undefined) return false;
  for (const directory of CONTENT_DIRECTORIES) {
    for (const name of await disk.list(directory)) await disk.remove(`${directory}/${name}`);
  }
  const kept = new Set([MARK, ...CONTENT_DIRECTORIES]);
  const files = (await disk.list(ROOT)).filter((name) => !kept.has(name));
  for (const name of files) await disk.remove(name);
  for (const directory of CONTENT_DIRECTORIES) {
    if ((await disk.list(ROOT)).includes(directory)) await disk.syncDirectory(directory);
  }
  await disk.syncDirectory(ROOT);
  await disk.remove(MARK);
  await disk.syncDirectory(ROOT);
  return true;
}
