/** A data folder on the operating system's file system. */
import { mkdir, open, readFile, readdir, rename, rm, type FileHandle } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { DiskError } from '../errors/disk-error.js';
import type { AppendFile, Disk } from '../seams/disk.js';

function isMissing(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ENOENT';
}

async function attempt<T>(step: string, path: string, operation: () => Promise<T>): Promise<T> {
  try {
    return await operation();
  } catch (error) {
    throw new DiskError(step, path, error);
  }
}

async function writeFully(handle: FileHandle, bytes: Uint8Array): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const result = await handle.write(bytes, written, bytes.length - written);
    written += result.bytesWritten;
  }
}

class NodeAppendFile implements AppendFile {
  constructor(
    private readonly handle: FileHandle,
    private readonly path: string,
    private currentSize: number,
  ) {}

  get size(): number {
    return this.currentSize;
  }

  async append(bytes: Uint8Array): Promise<void> {
    await attempt('append', this.path, () => writeFully(this.handle, bytes));
    this.currentSize += bytes.length;
  }

  async sync(): Promise<void> {
    await attempt('sync', this.path, () => this.handle.datasync());
  }

  async truncate(size: number): Promise<void> {
    await attempt('truncate', this.path, () => this.handle.truncate(size));
    this.currentSize = size;
  }

  async close(): Promise<void> {
    await attempt('close', this.path, () => this.handle.close());
  }
}

/** Production {@link Disk}. */
export class NodeDisk implements Disk {
  /** `root` is the data folder; it is created when missing. */
  constructor(private readonly root: string) {}

  async openAppend(path: string): Promise<AppendFile> {
    return attempt('open', path, async () => {
      const handle = await open(this.resolve(path), 'a');
      const { size } = await handle.stat();
      return new NodeAppendFile(handle, path, size);
    });
  }

  async read(path: string): Promise<Uint8Array | undefined> {
    return attempt('read', path, async () => {
      try {
        return await readFile(this.resolve(path));
      } catch (error) {
        if (isMissing(error)) return undefined;
        throw error;
      }
    });
  }

  async writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
    await attempt('write', path, async () => {
      const handle = await open(this.resolve(path), 'w');
      try {
        await writeFully(handle, bytes);
        await handle.sync();
      } finally {
        await handle.close();
      }
    });
  }

  async rename(from: string, to: string): Promise<void> {
    await attempt('rename', from, () => rename(this.resolve(from), this.resolve(to)));
  }

  async remove(path: string): Promise<void> {
    await attempt('remove', path, () => rm(this.resolve(path), { force: true }));
  }

  async list(directory: string): Promise<string[]> {
    return attempt('list', directory, async () => {
      try {
        return (await readdir(this.resolve(directory))).sort();
      } catch (error) {
        if (isMissing(error)) return [];
        throw error;
      }
    });
  }

  async createDirectory(path: string): Promise<void> {
    await attempt('create directory', path, async () => {
      await mkdir(this.resolve(path), { recursive: true });
      await this.syncFolder(dirname(this.resolve(path)));
    });
  }

  async syncDirectory(path: string): Promise<void> {
    await attempt('sync directory', path, () => this.syncFolder(this.resolve(path)));
  }

  private async syncFolder(absolutePath: string): Promise<void> {
    const handle = await open(absolutePath, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  private resolve(path: string): string {
    return join(this.root, path);
  }
}
