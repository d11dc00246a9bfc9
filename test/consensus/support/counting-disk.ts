/** Counts the operations that write, and ends the process in a chosen one. */
import type { AppendFile, Disk } from '../../../src/seams/disk.js';

export class CountingDisk implements Disk {
  /** Operations that write, begun so far by this process. */
  operations = 0;
  /** The process ends soon after this operation began. */
  crashAt = Infinity;

  constructor(
    private readonly inner: Disk,
    private readonly crashSoon: () => void,
  ) {}

  async openAppend(path: string): Promise<AppendFile> {
    this.count();
    return this.wrap(await this.inner.openAppend(path));
  }

  read(path: string): Promise<Uint8Array | undefined> {
    return this.inner.read(path);
  }

  writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
    this.count();
    return this.inner.writeAndSync(path, bytes);
  }

  rename(from: string, to: string): Promise<void> {
    this.count();
    return this.inner.rename(from, to);
  }

  remove(path: string): Promise<void> {
    this.count();
    return this.inner.remove(path);
  }

  list(directory: string): Promise<string[]> {
    return this.inner.list(directory);
  }

  createDirectory(path: string): Promise<void> {
    this.count();
    return this.inner.createDirectory(path);
  }

  syncDirectory(path: string): Promise<void> {
    this.count();
    return this.inner.syncDirectory(path);
  }

  private wrap(file: AppendFile): AppendFile {
    const counted = <T>(operation: () => Promise<T>): Promise<T> => {
      this.count();
      return operation();
    };
    return {
      get size() {
        return file.size;
      },
      append: (bytes) => counted(() => file.append(bytes)),
      sync: () => counted(() => file.sync()),
      truncate: (size) => counted(() => file.truncate(size)),
      close: () => file.close(),
    };
  }

  private count(): void {
    this.operations += 1;
    if (this.operations === this.crashAt) this.crashSoon();
  }
}
