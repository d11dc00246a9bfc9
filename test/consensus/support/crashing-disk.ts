/**
 * A disk in memory that keeps only what was synced over a crash, and of what
 * was not synced any part: a prefix, later pages without earlier ones, or a
 * renaming or not.
 */
import { DiskError } from '../../../src/errors/disk-error.js';
import type { AppendFile, Disk } from '../../../src/seams/disk.js';
import type { Clock } from '../../../src/seams/clock.js';
import type { RandomSource } from '../../../src/seams/random-source.js';

/** Unit in which unsynced bytes survive or not. */
const PAGE_BYTES = 64;

interface FileNode {
  bytes: Buffer;
  durable: Buffer;
}

function parentOf(path: string): string {
  return path.includes('/') ? path.slice(0, path.lastIndexOf('/')) : '.';
}

export class CrashingDisk implements Disk {
  /** Operations begun so far, across crashes. */
  operations = 0;
  /** The process dies in this operation. */
  crashAt = Infinity;
  /** Every sync from now on fails. */
  failSyncs = false;
  /** Called when the process dies. */
  onCrash: () => void = () => undefined;
  syncMilliseconds = 1;
  private names = new Map<string, FileNode>();
  private durableNames = new Map<string, FileNode>();
  private life = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** The process dies now; what it had not synced survives in part. */
  crash(): void {
    this.life += 1;
    this.crashAt = Infinity;
    const survivors = new Map(this.durableNames);
    for (const [path, node] of this.names) {
      if (this.random.nextInteger(0, 1) === 1) survivors.set(path, node);
    }
    for (const path of this.durableNames.keys()) {
      if (!this.names.has(path) && this.random.nextInteger(0, 1) === 1) survivors.delete(path);
    }
    this.names = new Map();
    for (const [path, node] of survivors) {
      const bytes = this.survivingBytes(node);
      this.names.set(path, { bytes, durable: bytes });
    }
    this.durableNames = new Map(this.names);
  }

  /** The machine comes back with an empty disk. */
  wipe(): void {
    this.life += 1;
    this.names = new Map();
    this.durableNames = new Map();
  }

  /** Bytes of a file, for tests that damage it. */
  content(path: string): Buffer {
    return this.names.get(path)?.bytes ?? Buffer.alloc(0);
  }

  /** Replaces a file behind the process's back. */
  damage(path: string, alter: (bytes: Buffer) => Buffer): void {
    const bytes = alter(Buffer.from(this.content(path)));
    this.names.set(path, { bytes, durable: bytes });
    this.durableNames.set(path, { bytes, durable: bytes });
  }

  paths(): string[] {
    return [...this.names.keys()].sort();
  }

  get totalBytes(): number {
    return [...this.names.values()].reduce((sum, node) => sum + node.bytes.length, 0);
  }

  async openAppend(path: string): Promise<AppendFile> {
    await this.step('open', path, () => undefined);
    let node = this.names.get(path);
    if (node === undefined) {
      node = { bytes: Buffer.alloc(0), durable: Buffer.alloc(0) };
      this.names.set(path, node);
    }
    return this.appendFile(path, node);
  }

  async read(path: string): Promise<Uint8Array | undefined> {
    const node = this.names.get(path);
    return node === undefined ? undefined : Buffer.from(node.bytes);
  }

  async writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
    const node: FileNode = { bytes: Buffer.from(bytes), durable: Buffer.alloc(0) };
    await this.step('write', path, () => this.names.set(path, node));
    await this.sync(path, node);
  }

  async rename(from: string, to: string): Promise<void> {
    await this.step('rename', from, () => {
      const node = this.names.get(from);
      if (node === undefined) throw new DiskError('rename', from, 'no such file');
      this.names.set(to, node);
      this.names.delete(from);
    });
  }

  async remove(path: string): Promise<void> {
    await this.step('remove', path, () => this.names.delete(path));
  }

  async list(directory: string): Promise<string[]> {
    return this.paths()
      .filter((path) => parentOf(path) === directory)
      .map((path) => path.slice(directory === '.' ? 0 : directory.length + 1));
  }

  async createDirectory(): Promise<void> {
    // Folders always exist.
  }

  async syncDirectory(path: string): Promise<void> {
    await this.step('sync directory', path, () => undefined);
    const life = this.life;
    await this.clock.sleep(this.syncMilliseconds);
    await this.dieIfGone(life);
    for (const name of [...this.durableNames.keys()]) {
      if (parentOf(name) === path && !this.names.has(name)) this.durableNames.delete(name);
    }
    for (const [name, node] of this.names) {
      if (parentOf(name) === path) this.durableNames.set(name, node);
    }
  }

  private appendFile(path: string, node: FileNode): AppendFile {
    const life = this.life;
    const alive = (): Promise<void> => this.dieIfGone(life);
    return {
      get size() {
        return node.bytes.length;
      },
      append: async (bytes) => {
        await alive();
        await this.step('append', path, () => {
          node.bytes = Buffer.concat([node.bytes, bytes]);
        });
      },
      sync: async () => {
        await alive();
        await this.sync(path, node);
      },
      truncate: async (size) => {
        await alive();
        await this.step('truncate', path, () => {
          node.bytes = node.bytes.subarray(0, size);
        });
      },
      close: async () => undefined,
    };
  }

  private async sync(path: string, node: FileNode): Promise<void> {
    await this.step('sync', path, () => undefined);
    if (this.failSyncs) throw new DiskError('sync', path, 'input/output error');
    const life = this.life;
    const { bytes } = node;
    await this.clock.sleep(this.syncMilliseconds);
    await this.dieIfGone(life);
    node.durable = bytes;
  }

  /** One operation; the process may die before or after it took effect. */
  private async step(step: string, path: string, effect: () => void): Promise<void> {
    this.operations += 1;
    const dies = this.operations === this.crashAt;
    if (!dies || this.random.nextInteger(0, 1) === 1) effect();
    if (!dies) return;
    this.onCrash();
    this.crash();
    await new Promise(() => undefined);
  }

  /** Whoever used the disk before the crash is dead: it never gets an answer. */
  private async dieIfGone(life: number): Promise<void> {
    if (life !== this.life) await new Promise(() => undefined);
  }

  private survivingBytes(node: FileNode): Buffer {
    const { bytes, durable } = node;
    const length = this.random.nextInteger(
      Math.min(durable.length, bytes.length),
      Math.max(durable.length, bytes.length),
    );
    const survivors = Buffer.from(bytes.length > durable.length ? bytes : durable).subarray(
      0,
      length,
    );
    for (let offset = durable.length; offset < length; offset += PAGE_BYTES) {
      if (this.random.nextInteger(0, 2) > 0) continue;
      survivors.fill(0, offset, Math.min(offset + PAGE_BYTES, length));
    }
    return survivors;
  }
}
