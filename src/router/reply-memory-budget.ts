/**
 * Limits the memory that the replies of one execution take, including replies still
 * arriving. Two replies of one shard can arrive at the same time, the second from its
 * hedge, so twice the maximum answer size suffices for every allowed answer.
 */

/** Replies of one shard that can arrive at the same time: the first attempt's and its hedge's. */
const CONCURRENT_REPLIES_PER_SHARD = 2;

/** Bytes reserved for the replies of one execution. */
export class ReplyMemoryBudget {
  private reservedBytes = 0;
  private exceeded = false;

  constructor(
    /** Maximum size of an answer. Bytes. */
    private readonly maximumAnswerBytes: number,
    /** Called once, when a reservation exceeds the budget. */
    private readonly onExceeded: () => void,
  ) {}

  get isExceeded(): boolean {
    return this.exceeded;
  }

  /** Reserves `bytes` that have arrived; false once the budget is exceeded. */
  reserve(bytes: number): boolean {
    if (this.exceeded) return false;
    this.reservedBytes += bytes;
    if (this.reservedBytes <= this.maximumAnswerBytes * CONCURRENT_REPLIES_PER_SHARD) return true;
    this.exceeded = true;
    this.onExceeded();
    return false;
  }

  /** Releases the bytes of a reply that is discarded. */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
