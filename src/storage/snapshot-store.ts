/**
 * Snapshots of the state machine. One file each, written whole and durable
 * before any older one is removed.
 */
import type { Disk } from '../seams/disk.js';
import { readChecksummedFile, replaceFile, TEMPORARY_SUFFIX } from './checksummed-file.js';
import { DamagedStorageError } from './damaged-storage-error.js';

const DIRECTORY = 'snapshots';
const SUFFIX = '.snapshot';
const INDEX_DIGITS = 16;
const HEADER_BYTES = 20;
const TERM_OFFSET = 8;
const MEMBERSHIP_LENGTH_OFFSET = 16;

/** The state after the record at `index`. */
export interface StoredSnapshot {
  readonly index: number;
  readonly term: number;
  /** Encoded membership in force at `index`. */
  readonly membership: Uint8Array;
  readonly data: Uint8Array;
}

function fileName(index: number): string {
  return `${String(index).padStart(INDEX_DIGITS, '0')}${SUFFIX}`;
}

function encode(snapshot: StoredSnapshot): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(snapshot.index), 0);
  header.writeBigUInt64BE(BigInt(snapshot.term), TERM_OFFSET);
  header.writeUInt32BE(snapshot.membership.length, MEMBERSHIP_LENGTH_OFFSET);
  return Buffer.concat([header, snapshot.membership, snapshot.data]);
}

function decode(name: string, content: Buffer): StoredSnapshot {
  const membershipLength =
    content.length < HEADER_BYTES ? 0 : content.readUInt32BE(MEMBERSHIP_LENGTH_OFFSET);
  const dataStart = HEADER_BYTES + membershipLength;
  if (content.length < dataStart) {
    throw new DamagedStorageError(`${DIRECTORY}/${name}`, 0, 'shorter than its header says');
  }
  return {
    index: Number(content.readBigUInt64BE(0)),
    term: Number(content.readBigUInt64BE(TERM_OFFSET)),
    membership: content.subarray(HEADER_BYTES, dataStart),
    data: content.subarray(dataStart),
  };
}

/** The snapshots of one data folder. */
export class SnapshotStore {
  private constructor(private readonly disk: Disk) {}

  /** Opens the folder and removes what an interrupted write left. */
  static async open(disk: Disk): Promise<SnapshotStore> {
    await disk.createDirectory(DIRECTORY);
    for (const name of await disk.list(DIRECTORY)) {
      if (name.endsWith(TEMPORARY_SUFFIX)) await disk.remove(`${DIRECTORY}/${name}`);
    }
    return new SnapshotStore(disk);
  }

  /**
   * The newest snapshot, or undefined when there is none.
   *
   * @throws DamagedStorageError when it cannot be read back; an older one is no
   *   stand-in, because the log before the newest may be gone.
   */
  async load(): Promise<StoredSnapshot | undefined> {
    const newest = (await this.names()).at(-1);
    if (newest === undefined) return undefined;
    const content = await readChecksummedFile(this.disk, DIRECTORY, newest);
    if (content === undefined) return undefined;
    // The process that wrote it may have ended before its name was durable.
    await this.disk.syncDirectory(DIRECTORY);
    await this.removeBefore(newest);
    return decode(newest, content);
  }

  /** Durable once the promise resolves; older snapshots are then removed. */
  async save(snapshot: StoredSnapshot): Promise<void> {
    const kept = fileName(snapshot.index);
    await replaceFile(this.disk, DIRECTORY, kept, encode(snapshot));
    await this.removeBefore(kept);
  }

  private async removeBefore(kept: string): Promise<void> {
    for (const name of await this.names()) {
      if (name < kept) await this.disk.remove(`${DIRECTORY}/${name}`);
    }
  }

  private async names(): Promise<string[]> {
    const names = await this.disk.list(DIRECTORY);
    return names.filter((name) => name.endsWith(SUFFIX));
  }
}
