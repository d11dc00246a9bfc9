/**
 * Collects buffers that nobody holds any more before they take too much memory. They lie outside the heap, whose
 * collector does not run for them until they take half as much as the heap may; the budgets for what peers
 * make a process hold no longer count them.
 */

/** What a {@link BufferReclaimer} reads, and how it collects. */
export interface BufferReclaimerOptions {
  /** Bytes of all buffers, held or not. */
  readonly bufferBytes: () => number;
  /** Bytes of those that are held. */
  readonly heldBytes: () => number;
  /** Bytes that may lie about. */
  readonly maximumGarbageBytes: number;
  /** Collects buffers that were not held for long; takes milliseconds. */
  readonly collectYoung: () => void;
  /** Collects all buffers that are not held. */
  readonly collectAll: () => void;
}

/** Allocations between two looks grow up to this many bounds while collections find no garbage. */
const MAXIMUM_BOUNDS_BETWEEN_LOOKS = 8;

/** One for a process. */
export class BufferReclaimer {
  private allocatedBytes = 0;
  private bytesBetweenLooks: number;

  constructor(private readonly options: BufferReclaimerOptions) {
    this.bytesBetweenLooks = options.maximumGarbageBytes;
  }

  /** Call for each buffer that is allocated for what a peer sends. */
  noteAllocated(bytes: number): void {
    this.allocatedBytes += bytes;
    if (this.allocatedBytes < this.bytesBetweenLooks) return;
    this.allocatedBytes = 0;
    if (this.isOverBound) this.collect();
  }

  private collect(): void {
    const { bufferBytes, maximumGarbageBytes, collectYoung, collectAll } = this.options;
    const bytesBefore = bufferBytes();
    collectYoung();
    if (this.isOverBound) collectAll();
    // Buffers may be in use that no budget counts.
    const hasFoundGarbage = bufferBytes() < bytesBefore - maximumGarbageBytes / 2;
    this.bytesBetweenLooks = hasFoundGarbage
      ? maximumGarbageBytes
      : Math.min(this.bytesBetweenLooks * 2, maximumGarbageBytes * MAXIMUM_BOUNDS_BETWEEN_LOOKS);
  }

  private get isOverBound(): boolean {
    const { bufferBytes, heldBytes, maximumGarbageBytes } = this.options;
    return bufferBytes() - heldBytes() > maximumGarbageBytes;
  }
}
