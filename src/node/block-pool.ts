/**
 * Blocks of memory that are used again. Memory outside the heap is given back only when its owner is
 * collected, and peers can make a process give blocks up much faster than they are collected.
 */
import type { ByteBudget } from './byte-budget.js';

/** Bytes. */
export const BLOCK_BYTES = 64 * 1024;

/** Free blocks of a process. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Free blocks are kept as far as `budget` has room for them. */
  constructor(private readonly budget: ByteBudget) {}

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
