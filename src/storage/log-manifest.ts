/** Which segments the log consists of; makes a missing one noticed. */
import * as z from 'zod';
import type { Disk } from '../seams/disk.js';
import { readChecksummedFile, replaceFile } from './checksummed-file.js';
import { DamagedStorageError } from './damaged-storage-error.js';

const FILE_NAME = 'manifest';

const logManifestSchema = z.strictObject({
  /** Sequence number of the oldest segment that counts. */
  first: z.int().min(1),
  /** Sequence number of the segment being written. */
  last: z.int().min(1),
});
export type LogManifest = Readonly<z.infer<typeof logManifestSchema>>;

/** Undefined when the log was never begun. */
export async function loadManifest(
  disk: Disk,
  directory: string,
): Promise<LogManifest | undefined> {
  const content = await readChecksummedFile(disk, directory, FILE_NAME);
  if (content === undefined) return undefined;
  try {
    return logManifestSchema.parse(JSON.parse(content.toString('utf8')));
  } catch (error) {
    throw new DamagedStorageError(
      `${directory}/${FILE_NAME}`,
      0,
      `not a manifest (${String(error)})`,
    );
  }
}

/** Durable once the promise resolves. */
export async function saveManifest(
  disk: Disk,
  directory: string,
  manifest: LogManifest,
): Promise<void> {
  await replaceFile(disk, directory, FILE_NAME, Buffer.from(JSON.stringify(manifest)));
}
