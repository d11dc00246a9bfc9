/**
 * Bounds what the replies of one try hold in memory, those still arriving
 * included. Two replies of a shard may arrive at once, its hedge's being the
 * second, so twice the largest answer is room for every answer that is allowed.
 */

/** Copies of one shard's reply that may arrive at the same time. */
const CONCURRENT_REPLIES_PER_SHARD = 2;

/** Bytes of the replies of one try. */
export class ReplyMemoryBudget {
  private reservedBytes = 0;
  private exceeded = false;

  constructor(
    /** Bytes. */
    private readonly maximumAnswerBytes: number,
    /** Called once, when the answer can no longer fit. */
    private readonly onExceeded: () => void,
  ) {}

  get isExceeded(): boolean {
    return this.exceeded;
  }

  /** Takes room for `bytes` that have arrived; false when there is none. */
  reserve(bytes: number): boolean {
    if (this.exceeded) return false;
    this.reservedBytes += bytes;
    if (this.reservedBytes <= this.maximumAnswerBytes * CONCURRENT_REPLIES_PER_SHARD) return true;
    this.exceeded = true;
    this.onExceeded();
    return false;
  }

  /** Gives back the room of a reply that is not used. */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
