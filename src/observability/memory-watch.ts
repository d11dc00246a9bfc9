/**
 * Logs when a process's memory passes a part of what it may use, with the memory by kind. A process that
 * is killed for its memory writes no line of its own, so the line has to come before.
 */
import type { Logger } from './logger.js';

/** Memory of a process by kind, and its descriptors. */
export interface MemoryUse {
  /** Counts against the limit. */
  readonly residentBytes: number;
  readonly heapUsedBytes: number;
  readonly heapTotalBytes: number;
  /** Outside the heap, buffers included. */
  readonly externalBytes: number;
  /** Of buffers; no limit of the heap bounds them. */
  readonly bufferBytes: number;
  /** Undefined where the system doesn't tell it. */
  readonly openDescriptors: number | undefined;
}

/** Where the figures come from. */
export interface MemoryReader {
  /** Cheap enough to be asked several times a second. */
  residentBytes(): number;
  read(): MemoryUse;
}

/** Parts of the limit at which a line is written. */
const LEVELS = [0.6, 0.75, 0.9] as const;
/** Memory has to fall by this part of the limit below a level before passing it counts again. */
const HYSTERESIS_FRACTION = 0.1;

/** Bytes that are held for peers. */
export interface HeldBytes {
  readonly responseBytes: number;
  readonly requestBytes: number;
  readonly messageBytes: number;
  readonly unservedBytes: number;
}

/** What a {@link MemoryWatch} reads and writes. */
export interface MemoryWatchOptions {
  readonly reader: MemoryReader;
  readonly held: () => HeldBytes;
  /** Memory that the process may use. */
  readonly limitBytes: number;
  readonly logger: Logger;
}

/** Call {@link check} several times a second. */
export class MemoryWatch {
  /** Number of levels that the memory is above. */
  private level = 0;

  constructor(private readonly options: MemoryWatchOptions) {}

  check(): void {
    const { reader, limitBytes } = this.options;
    const fraction = reader.residentBytes() / limitBytes;
    const reached = LEVELS.filter((level) => fraction >= level).length;
    if (reached > this.level) {
      this.level = reached;
      this.log('memory rose', fraction);
      return;
    }
    const kept = LEVELS.filter((level) => fraction >= level - HYSTERESIS_FRACTION).length;
    if (kept >= this.level) return;
    this.level = kept;
    this.log('memory fell', fraction);
  }

  private log(message: string, fraction: number): void {
    const { reader, held, limitBytes, logger } = this.options;
    const fields = {
      ...reader.read(),
      ...held(),
      limitBytes,
      fraction: Number(fraction.toFixed(2)),
    };
    if (message === 'memory rose') logger.warn(message, fields);
    else logger.info(message, fields);
  }
}
