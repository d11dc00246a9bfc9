/** The disk of one machine: survives its processes, and loses what was not synced in a crash. */
import { posix } from 'node:path';
import type { RandomSource } from '../../src/seams/random-source.js';
import { SimulatedFile } from './simulated-file.js';

/** A change of names that is durable only once its folder was synced. */
interface NameChange {
  readonly directory: string;
  apply(names: Map<string, SimulatedFile>): void;
}

/** Faults switched on for a machine's disk. */
export interface DiskFaults {
  /** Appends, writes and renames fail, as on a full disk. */
  failWrites: boolean;
  /** Syncs fail, and what they should have made durable may be lost. */
  failSyncs: boolean;
  /** Every operation takes this many times as long. */
  slowness: number;
  /** Writes that would make the files longer than this together fail. Bytes. */
  capacityBytes: number;
}

/** See the module comment. Paths are normalised, relative, with `/`. */
export class SimulatedVolume {
  readonly faults: DiskFaults = {
    failWrites: false,
    failSyncs: false,
    slowness: 1,
    capacityBytes: Infinity,
  };
  private names = new Map<string, SimulatedFile>();
  private durableNames = new Map<string, SimulatedFile>();
  private readonly directories = new Set<string>(['.']);
  private pendingChanges: NameChange[] = [];

  constructor(private readonly random: RandomSource) {}

  /** Bytes of all files together. */
  get usedBytes(): number {
    return [...this.names.values()].reduce((sum, { size }) => sum + size, 0);
  }

  file(path: string): SimulatedFile | undefined {
    return this.names.get(normalise(path));
  }

  /** Makes an empty file. @throws Error when its folder is missing. */
  create(path: string): SimulatedFile {
    const name = normalise(path);
    this.requireDirectory(posix.dirname(name));
    const file = new SimulatedFile();
    this.change(name, (names) => names.set(name, file));
    return file;
  }

  /** @throws Error when there is no such file or no such folder. */
  rename(from: string, to: string): void {
    const oldName = normalise(from);
    const newName = normalise(to);
    const file = this.names.get(oldName);
    if (file === undefined) throw new Error(`ENOENT: no such file, rename '${from}'`);
    this.requireDirectory(posix.dirname(newName));
    this.change(newName, (names) => {
      names.delete(oldName);
      names.set(newName, file);
    });
  }

  remove(path: string): void {
    const name = normalise(path);
    this.change(name, (names) => names.delete(name));
  }

  createDirectory(path: string): void {
    let name = normalise(path);
    while (name !== '.') {
      this.directories.add(name);
      name = posix.dirname(name);
    }
  }

  list(directory: string): string[] {
    const parent = normalise(directory);
    const entries = [...this.names.keys(), ...this.directories];
    return entries
      .filter((name) => name !== '.' && posix.dirname(name) === parent)
      .map((name) => posix.basename(name))
      .sort();
  }

  /** Makes the names of a folder durable. @throws Error when it is missing. */
  syncDirectory(path: string): void {
    const directory = normalise(path);
    this.requireDirectory(directory);
    const others: NameChange[] = [];
    for (const change of this.pendingChanges) {
      if (change.directory === directory) change.apply(this.durableNames);
      else others.push(change);
    }
    this.pendingChanges = others;
  }

  /** A loss of power: a prefix of the unsynced name changes survives, and torn file contents. */
  crash(): void {
    const survivors = this.random.nextInteger(0, this.pendingChanges.length);
    for (const change of this.pendingChanges.slice(0, survivors)) change.apply(this.durableNames);
    this.pendingChanges = [];
    this.names = new Map(this.durableNames);
    for (const file of new Set(this.names.values())) file.crash(this.random);
  }

  /** An empty disk, as after the loss of the old one. */
  wipe(): void {
    this.names.clear();
    this.durableNames.clear();
    this.directories.clear();
    this.directories.add('.');
    this.pendingChanges = [];
  }

  /** Flips one bit in one file whose path starts with `prefix`; its path, or undefined if none. */
  corrupt(prefix = ''): string | undefined {
    const paths = [...this.names.keys()]
      .filter((path) => path.startsWith(prefix) && (this.names.get(path)?.size ?? 0) > 0)
      .sort();
    if (paths.length === 0) return undefined;
    const path = paths[this.random.nextInteger(0, paths.length - 1)] ?? '';
    return this.names.get(path)?.corrupt(this.random) === true ? path : undefined;
  }

  private change(name: string, apply: (names: Map<string, SimulatedFile>) => void): void {
    apply(this.names);
    this.pendingChanges.push({ directory: posix.dirname(name), apply });
  }

  private requireDirectory(directory: string): void {
    if (!this.directories.has(directory)) {
      throw new Error(`ENOENT: no such directory '${directory}'`);
    }
  }
}

function normalise(path: string): string {
  return posix.normalize(path).replace(/\/$/, '') || '.';
}
