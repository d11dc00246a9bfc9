/**
 * Small files that are replaced whole: a checksum over the content, written to
 * a temporary name, synced, renamed, and the folder synced, so that a crash
 * leaves either the old content or the new.
 */
import { xxh64 } from '@node-rs/xxhash';
import type { Disk } from '../seams/disk.js';
import { DamagedStorageError } from './damaged-storage-error.js';

const CHECKSUM_BYTES = 8;
/** Ending of a file that is being written; never read. */
export const TEMPORARY_SUFFIX = '.temporary';

function joinPath(directory: string, name: string): string {
  return directory === '.' ? name : `${directory}/${name}`;
}

/** Replaces `directory/name` durably. */
export async function replaceFile(
  disk: Disk,
  directory: string,
  name: string,
  content: Uint8Array,
): Promise<void> {
  const bytes = Buffer.allocUnsafe(CHECKSUM_BYTES + content.length);
  bytes.writeBigUInt64BE(xxh64(content), 0);
  bytes.set(content, CHECKSUM_BYTES);
  const temporaryPath = joinPath(directory, name + TEMPORARY_SUFFIX);
  await disk.writeAndSync(temporaryPath, bytes);
  await disk.rename(temporaryPath, joinPath(directory, name));
  await disk.syncDirectory(directory);
}

/**
 * The content of `directory/name`, or undefined when there is no such file.
 *
 * @throws DamagedStorageError when the checksum does not fit.
 */
export async function readChecksummedFile(
  disk: Disk,
  directory: string,
  name: string,
): Promise<Buffer | undefined> {
  const path = joinPath(directory, name);
  const stored = await disk.read(path);
  if (stored === undefined) return undefined;
  const bytes = Buffer.from(stored.buffer, stored.byteOffset, stored.byteLength);
  const content = bytes.subarray(CHECKSUM_BYTES);
  if (bytes.length < CHECKSUM_BYTES || bytes.readBigUInt64BE(0) !== xxh64(content)) {
    throw new DamagedStorageError(path, 0, 'the checksum does not fit the content');
  }
  return content;
}
