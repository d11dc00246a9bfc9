/** The disk seam of one process, over its machine's volume. */
import { DiskError } from '../../src/errors/disk-error.js';
import type { AppendFile, Disk } from '../../src/seams/disk.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import { EventKind, type EventQueue } from './event-queue.js';
import { never, type ProcessLife } from './process-life.js';
import type { SimulatedFile } from './simulated-file.js';
import type { SimulatedVolume } from './simulated-volume.js';

/** How long operations take. Milliseconds. */
export const DISK_OPERATION_TIME = 0.05;
export const DISK_SYNC_TIME = 1;
/** Further time per byte written. Milliseconds. */
const TIME_PER_BYTE = 1 / 200_000;

/** Runs the operations of one process in virtual time. */
class DiskOperations {
  constructor(
    private readonly events: EventQueue,
    private readonly life: ProcessLife,
    readonly volume: SimulatedVolume,
    private readonly random: RandomSource,
  ) {}

  /** Calls `operation` after `duration`; never settles if the process ends before. */
  run<T>(step: string, path: string, duration: number, operation: () => T): Promise<T> {
    if (!this.life.alive) return never();
    const variation = 0.5 + this.random.nextFloat();
    const time = duration * variation * this.volume.faults.slowness;
    return new Promise((resolve, reject) => {
      this.events.schedule(time, EventKind.DiskOperation, this.life, 0, () => {
        try {
          resolve(operation());
        } catch (error) {
          reject(error instanceof DiskError ? error : new DiskError(step, path, error));
        }
      });
    });
  }

  /** Like {@link DiskOperations.run} for an operation that writes `bytes`. */
  write<T>(step: string, path: string, bytes: number, operation: () => T): Promise<T> {
    return this.run(step, path, DISK_OPERATION_TIME + bytes * TIME_PER_BYTE, () => {
      const { failWrites, capacityBytes } = this.volume.faults;
      const isFull = bytes > 0 && this.volume.usedBytes + bytes > capacityBytes;
      if (failWrites || isFull) throw new Error('ENOSPC: no space left on device');
      return operation();
    });
  }

  /** Makes what `file` holds now durable. */
  sync(step: string, path: string, file: SimulatedFile): Promise<void> {
    const { size } = file;
    return this.run(step, path, DISK_SYNC_TIME, () => {
      if (this.volume.faults.failSyncs) {
        file.failSync(size);
        throw new Error('EIO: i/o error');
      }
      file.sync(size);
    });
  }
}

class SimulatedAppendFile implements AppendFile {
  private closed = false;
  private currentSize: number;

  constructor(
    private readonly operations: DiskOperations,
    private readonly path: string,
    private readonly file: SimulatedFile,
  ) {
    this.currentSize = file.size;
  }

  get size(): number {
    return this.currentSize;
  }

  async append(bytes: Uint8Array): Promise<void> {
    const copy = Buffer.from(bytes);
    await this.operations.write('append', this.path, copy.length, () => {
      this.requireOpen();
      this.file.append(copy);
    });
    this.currentSize += copy.length;
  }

  async sync(): Promise<void> {
    this.requireOpen();
    await this.operations.sync('sync', this.path, this.file);
  }

  async truncate(size: number): Promise<void> {
    await this.operations.write('truncate', this.path, 0, () => {
      this.requireOpen();
      this.file.truncate(size);
    });
    this.currentSize = size;
  }

  async close(): Promise<void> {
    await this.operations.run('close', this.path, DISK_OPERATION_TIME, () => {
      this.closed = true;
    });
  }

  private requireOpen(): void {
    if (this.closed) throw new DiskError('use', this.path, new Error('EBADF: file is closed'));
  }
}

/** {@link Disk} of one process. */
export class SimulatedDisk implements Disk {
  private readonly operations: DiskOperations;

  constructor(
    events: EventQueue,
    life: ProcessLife,
    private readonly volume: SimulatedVolume,
    random: RandomSource,
  ) {
    this.operations = new DiskOperations(events, life, volume, random);
  }

  openAppend(path: string): Promise<AppendFile> {
    return this.operations.write('open', path, 0, () => {
      const file = this.volume.file(path) ?? this.volume.create(path);
      return new SimulatedAppendFile(this.operations, path, file);
    });
  }

  read(path: string): Promise<Uint8Array | undefined> {
    return this.operations.run('read', path, DISK_OPERATION_TIME, () =>
      this.volume.file(path)?.content(),
    );
  }

  async writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
    const copy = Buffer.from(bytes);
    const file = await this.operations.write('write', path, copy.length, () => {
      const target = this.volume.file(path) ?? this.volume.create(path);
      target.replace(copy);
      return target;
    });
    await this.operations.sync('write', path, file);
  }

  rename(from: string, to: string): Promise<void> {
    return this.operations.write('rename', from, 0, () => this.volume.rename(from, to));
  }

  remove(path: string): Promise<void> {
    return this.operations.write('remove', path, 0, () => this.volume.remove(path));
  }

  list(directory: string): Promise<string[]> {
    return this.operations.run('list', directory, DISK_OPERATION_TIME, () =>
      this.volume.list(directory),
    );
  }

  createDirectory(path: string): Promise<void> {
    return this.operations.write('create directory', path, 0, () =>
      this.volume.createDirectory(path),
    );
  }

  syncDirectory(path: string): Promise<void> {
    return this.operations.run('sync directory', path, DISK_SYNC_TIME, () => {
      if (this.volume.faults.failSyncs) throw new Error('EIO: i/o error');
      this.volume.syncDirectory(path);
    });
  }
}
