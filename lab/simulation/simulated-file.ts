/** The content of one simulated file: what the process sees, and what a crash would leave. */
import type { RandomSource } from '../../src/seams/random-source.js';

const SMALLEST_CAPACITY = 256;
const BITS_PER_BYTE = 8;

/** A range of bytes that a failed sync left unwritten. */
interface LostRange {
  readonly start: number;
  readonly end: number;
}

/** See the module comment. */
export class SimulatedFile {
  private buffer: Buffer = Buffer.alloc(SMALLEST_CAPACITY);
  private length = 0;
  private syncedLength = 0;
  /** Durable content that a truncation or replacement not yet synced would bring back. */
  private replaced: Buffer | undefined;
  private lostRanges: LostRange[] = [];

  get size(): number {
    return this.length;
  }

  content(): Buffer {
    return Buffer.from(this.buffer.subarray(0, this.length));
  }

  append(bytes: Uint8Array): void {
    this.reserve(this.length + bytes.length);
    this.buffer.set(bytes, this.length);
    this.length += bytes.length;
  }

  truncate(size: number): void {
    if (size >= this.length) return;
    if (size < this.syncedLength) {
      this.replaced ??= Buffer.from(this.buffer.subarray(0, this.syncedLength));
      this.syncedLength = size;
    }
    this.length = size;
    // What is written there from now on is new to the disk.
    this.lostRanges = this.lostRanges
      .filter(({ start }) => start < size)
      .map(({ start, end }) => ({ start, end: Math.min(end, size) }));
  }

  replace(bytes: Uint8Array): void {
    this.truncate(0);
    this.append(bytes);
  }

  /** Makes the first `size` bytes durable. */
  sync(size: number): void {
    this.syncedLength = Math.max(this.syncedLength, Math.min(size, this.length));
    this.replaced = undefined;
  }

  /** A sync of the first `size` bytes failed: they may never reach the disk, later syncs or not. */
  failSync(size: number): void {
    if (size > this.syncedLength) this.lostRanges.push({ start: this.syncedLength, end: size });
  }

  /** Flips one bit that is durable; false when there is none. */
  corrupt(random: RandomSource): boolean {
    if (this.syncedLength === 0) return false;
    const position = random.nextInteger(0, this.syncedLength - 1);
    const flipped = 1 << random.nextInteger(0, BITS_PER_BYTE - 1);
    this.buffer[position] = (this.buffer[position] ?? 0) ^ flipped;
    return true;
  }

  /** What a loss of power leaves: all that was synced, and any part of the rest. */
  crash(random: RandomSource): void {
    if (this.replaced !== undefined && random.nextFloat() < 0.5) {
      this.buffer = this.replaced;
      this.length = this.replaced.length;
    } else {
      this.tear(random);
    }
    this.replaced = undefined;
    this.syncedLength = this.length;
    for (const { start, end } of this.lostRanges) {
      this.buffer.fill(0, Math.min(start, this.length), Math.min(end, this.length));
    }
    this.lostRanges = [];
  }

  /** Keeps part of the unsynced tail, of which the last part may read as zeros. */
  private tear(random: RandomSource): void {
    if (this.length === this.syncedLength) return;
    const kept = random.nextInteger(this.syncedLength, this.length);
    const written = random.nextFloat() < 0.5 ? kept : random.nextInteger(this.syncedLength, kept);
    this.buffer.fill(0, written, kept);
    this.length = kept;
  }

  private reserve(size: number): void {
    if (size <= this.buffer.length) return;
    const larger = Buffer.alloc(Math.max(size, this.buffer.length * 2));
    this.buffer.copy(larger, 0, 0, this.length);
    this.buffer = larger;
  }
}
