/**
 * Blocks of memory that are used again. Memory outside the heap is given back only when its owner is
 * collected, and peers can make a process give blocks up much faster than they are collected.
 */

/** Bytes. */
export const BLOCK_BYTES = 64 * 1024;

/** Free blocks of a process. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** `maximumBytes` bounds the free blocks that are kept. */
  constructor(private readonly maximumBytes: number) {}

  /** A block of {@link BLOCK_BYTES} whose content is undefined. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Nothing may refer to the block any more. */
  give(block: Buffer): void {
    const isWanted = (this.free.length + 1) * BLOCK_BYTES <= this.maximumBytes;
    if (isWanted) this.free.push(block);
  }
}
