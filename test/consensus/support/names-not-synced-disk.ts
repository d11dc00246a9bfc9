/** A disk whose process ends before it has synced the names of one folder. */
import type { AppendFile, Disk } from '../../../src/seams/disk.js';

export class NamesNotSyncedDisk implements Disk {
  /** Syncs of this folder's names never finish. */
  stopsIn: string | undefined;

  constructor(private readonly inner: Disk) {}

  openAppend(path: string): Promise<AppendFile> {
    return this.inner.openAppend(path);
  }

  read(path: string): Promise<Uint8Array | undefined> {
    return this.inner.read(path);
  }

  writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
    return this.inner.writeAndSync(path, bytes);
  }

  rename(from: string, to: string): Promise<void> {
    return this.inner.rename(from, to);
  }

  remove(path: string): Promise<void> {
    return this.inner.remove(path);
  }

  list(directory: string): Promise<string[]> {
    return this.inner.list(directory);
  }

  createDirectory(path: string): Promise<void> {
    return this.inner.createDirectory(path);
  }

  syncDirectory(path: string): Promise<void> {
    if (path === this.stopsIn) return new Promise(() => undefined);
    return this.inner.syncDirectory(path);
  }
}
