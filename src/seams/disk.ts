/**
 * The disk seam. Paths are relative to the data folder the disk was opened on.
 * Bytes last only once `sync` of the file has resolved; a new name lasts only
 * once `syncDirectory` of its folder has resolved.
 */

/** A file open for appending. */
export interface AppendFile {
  /** Bytes in the file, those not yet synced included. */
  readonly size: number;

  /** Adds `bytes` at the end. Not durable before {@link AppendFile.sync}. */
  append(bytes: Uint8Array): Promise<void>;

  /** Makes all appended bytes durable. */
  sync(): Promise<void>;

  /** Cuts the file to its first `size` bytes. Not durable before {@link AppendFile.sync}. */
  truncate(size: number): Promise<void>;

  close(): Promise<void>;
}

/** A data folder. Every method throws a `DiskError` naming step and path. */
export interface Disk {
  /** Opens a file for appending, creating it when missing. */
  openAppend(path: string): Promise<AppendFile>;

  /** The whole content of a file, or undefined when there is no such file. */
  read(path: string): Promise<Uint8Array | undefined>;

  /** Replaces a file's content and syncs the file (not its folder). */
  writeAndSync(path: string, bytes: Uint8Array): Promise<void>;

  /** Renames a file, replacing any file of the new name. Durable after {@link Disk.syncDirectory}. */
  rename(from: string, to: string): Promise<void>;

  remove(path: string): Promise<void>;

  /** Names of the entries in a folder, sorted; empty when there is no such folder. */
  list(directory: string): Promise<string[]>;

  /** Creates a folder and its parents. */
  createDirectory(path: string): Promise<void>;

  /** Makes creations, renames and removals in a folder durable. */
  syncDirectory(path: string): Promise<void>;
}
