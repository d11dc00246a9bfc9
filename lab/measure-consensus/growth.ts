/** What a change adds to the data folder of a controller. */
import { readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';
import type { ControllerGroup } from './controller-group.js';

/** Bytes in one data folder after a number of changes. */
export interface FolderSize {
  readonly changes: number;
  readonly logBytes: number;
  readonly snapshotBytes: number;
}

async function folderBytes(folder: string): Promise<number> {
  let bytes = 0;
  for (const name of await readdir(folder)) bytes += (await stat(join(folder, name))).size;
  return bytes;
}

async function sizeOf(group: ControllerGroup): Promise<FolderSize> {
  const { dataFolder } = group.controller(await group.leader());
  return {
    changes: group.revision,
    logBytes: await folderBytes(join(dataFolder, 'log')),
    snapshotBytes: await folderBytes(join(dataFolder, 'snapshots')),
  };
}

/** Makes changes and reads the sizes after every `step` of them. */
export async function measureGrowth(
  group: ControllerGroup,
  changes: number,
  step: number,
): Promise<FolderSize[]> {
  const sizes = [await sizeOf(group)];
  const client = group.operator([group.controller(await group.leader())]);
  for (let made = 1; made <= changes; made += 1) {
    await group.accept(client);
    if (made % step === 0) sizes.push(await sizeOf(group));
  }
  client.close();
  return sizes;
}
