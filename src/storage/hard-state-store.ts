/**
 * What a member must never forget: who it is, its term and its vote. Written
 * as JSON behind a checksum, so that an operator can read it.
 */
import * as z from 'zod';
import type { Disk } from '../seams/disk.js';
import { readChecksummedFile, replaceFile } from './checksummed-file.js';
import { DamagedStorageError } from './damaged-storage-error.js';

const DIRECTORY = '.';
const FILE_NAME = 'hard-state';

const hardStateSchema = z.strictObject({
  clusterId: z.string().min(1),
  memberId: z.string().min(1),
  /** Drawn when the data folder was made; a member with another one is another disk. */
  incarnation: z.string().min(1),
  term: z.int().min(0),
  /** Whom this member voted for in `term`. */
  votedFor: z.string().min(1).optional(),
});
export type HardState = Readonly<z.infer<typeof hardStateSchema>>;

/** Reads and writes the hard state. */
export class HardStateStore {
  constructor(private readonly disk: Disk) {}

  /** Undefined in an empty data folder. */
  async load(): Promise<HardState | undefined> {
    const content = await readChecksummedFile(this.disk, DIRECTORY, FILE_NAME);
    if (content === undefined) return undefined;
    try {
      return hardStateSchema.parse(JSON.parse(content.toString('utf8')));
    } catch (error) {
      throw new DamagedStorageError(FILE_NAME, 0, `not a hard state (${String(error)})`);
    }
  }

  /** Durable once the promise resolves. */
  async save(state: HardState): Promise<void> {
    await replaceFile(this.disk, DIRECTORY, FILE_NAME, Buffer.from(JSON.stringify(state)));
  }
}
