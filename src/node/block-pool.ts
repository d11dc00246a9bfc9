/**
 * Blocks of memory that are used again. Memory outside the heap is given back only when its owner is
 * collected, and peers can make a process give blocks up much faster than they are collected.
 */
import type { BufferReclaimer } from './buffer-reclaimer.js';
import type { ByteBudget } from './byte-budget.js';

/** Bytes. */
export const BLOCK_BYTES = 64 * 1024;

/** Free blocks of a process. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Free blocks are kept as far as `budget` has room for them. */
  constructor(
    private readonly budget: ByteBudget,
    /** Told of all that is allocated for bodies; undefined where garbage is left to the runtime. */
    private readonly reclaimer?: BufferReclaimer,
  ) {}

  /** Bytes of free blocks. */
  get freeBytes(): number {
    return this.free.length * BLOCK_BYTES;
  }

  /** Call for each buffer that a body takes beside its blocks, and for what is received of it. */
  noteAllocated(bytes: number): void {
    this.reclaimer?.noteAllocated(bytes);
  }

  /** A block of {@link BLOCK_BYTES} whose content is undefined. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Nothing may refer to the block any more, and its bytes have to be released. */
  give(block: Buffer): void {
    this.free.push(block);
    this.trim();
  }

  /** Gives up free blocks that there is no room for. */
  trim(): void {
    while (this.free.length > 0 && !this.budget.hasRoomFor(this.free.length * BLOCK_BYTES)) {
      this.free.pop();
    }
  }
}
