/**
 * Collects the parts of a body. A part is a view of the memory it was read into, so a single byte can hold
 * 64 KiB, and each part is an object on the heap: parts are copied together, and what counts is the memory
 * that the body really holds.
 */

import { BLOCK_BYTES, type BlockPool } from './block-pool.js';

/** Memory of further parts is allocated in blocks that grow with the body, from this to {@link BLOCK_BYTES}. */
const MINIMUM_BLOCK_BYTES = 1024;
/** A first part is kept as it came if the memory around it is not larger than this. Bytes. */
const MAXIMUM_SURROUNDING_BYTES = 1024;

/** Where a body's memory is taken from. */
export interface ByteSource {
  /** Says whether there was room. */
  take(bytes: number): boolean;
  release(bytes: number): void;
}

/** One body. */
export class BodyCollector {
  /** Bytes of the body so far. */
  size = 0;
  /** Bytes of the whole body as announced; 0 when nothing is. */
  announcedBytes = 0;
  /** Bytes taken from the source. */
  private heldBytes = 0;
  /** Every block but the last is full. */
  private blocks: Buffer[] = [];
  private freeBytes = 0;
  /** Whether the first block is a part as it came. */
  private isFirstKept = false;

  constructor(
    private readonly source: ByteSource,
    private readonly pool: BlockPool,
  ) {}

  /** Returns false if there is no room for the part; the body is of no use then. */
  add(part: Buffer): boolean {
    this.pool.noteAllocated(part.length);
    const isKept = this.size === 0 && this.mayKeep(part);
    return isKept ? this.keep(part) : this.copy(part);
  }

  /** The whole body. What it holds of the source is left to the caller. */
  finish(): Buffer {
    const body = this.join();
    if (this.heldBytes > this.size) this.source.release(this.heldBytes - this.size);
    this.heldBytes = 0;
    this.giveBlocks();
    return body;
  }

  /** Forgets the body and releases what it holds. */
  release(): void {
    this.source.release(this.heldBytes);
    this.heldBytes = 0;
    this.giveBlocks();
  }

  private mayKeep(part: Buffer): boolean {
    return part.buffer.byteLength - part.length <= MAXIMUM_SURROUNDING_BYTES;
  }

  private keep(part: Buffer): boolean {
    if (!this.take(part.buffer.byteLength)) return false;
    this.blocks.push(part);
    this.size = part.length;
    this.isFirstKept = true;
    return true;
  }

  private copy(part: Buffer): boolean {
    let copied = 0;
    while (copied < part.length) {
      if (this.freeBytes === 0 && !this.addBlock(part.length - copied)) return false;
      copied += this.fill(part, copied);
    }
    return true;
  }

  private addBlock(neededBytes: number): boolean {
    const bytes = Math.min(this.wantedBytes(neededBytes), BLOCK_BYTES);
    if (!this.take(bytes)) return false;
    this.blocks.push(bytes === BLOCK_BYTES ? this.pool.take() : Buffer.allocUnsafeSlow(bytes));
    this.freeBytes = bytes;
    return true;
  }

  /** Of a body that announces no length, as much again is expected as has come. */
  private wantedBytes(neededBytes: number): number {
    const announced = this.announcedBytes - this.size;
    return announced > 0 ? announced : Math.max(neededBytes, this.size, MINIMUM_BLOCK_BYTES);
  }

  /** Copies into the last block; returns how many bytes. */
  private fill(part: Buffer, from: number): number {
    const block = this.blocks[this.blocks.length - 1] as Buffer;
    const copied = part.copy(block, block.length - this.freeBytes, from);
    this.freeBytes -= copied;
    this.size += copied;
    return copied;
  }

  private take(bytes: number): boolean {
    if (!this.source.take(bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  private join(): Buffer {
    const [first] = this.blocks;
    const isWhole = this.blocks.length === 1 && this.freeBytes === 0;
    if (isWhole && first !== undefined) {
      this.blocks = [];
      return first;
    }
    this.pool.noteAllocated(this.size);
    const body = Buffer.allocUnsafeSlow(this.size);
    let offset = 0;
    for (const block of this.blocks) offset += block.copy(body, offset, 0, this.size - offset);
    return body;
  }

  private giveBlocks(): void {
    const { blocks, isFirstKept } = this;
    this.blocks = [];
    this.freeBytes = 0;
    for (const [index, block] of blocks.entries()) {
      const isOwn = index > 0 || !isFirstKept;
      if (isOwn && block.length === BLOCK_BYTES) this.pool.give(block);
    }
  }
}
