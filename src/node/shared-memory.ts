/**
 * Bounds what all connections of one kind make a process hold together. A bound for each connection alone adds
 * up to more than the memory of a machine, as peers decide how many there are.
 */
import type { ByteBudget } from './byte-budget.js';

/** A connection that holds memory for its peer. */
export interface MemoryHolder {
  /** Closes the connection and drops all that it holds. */
  giveUp(): void;
}

/** Shared by all connections whose memory counts in one {@link ByteBudget}. */
export class SharedMemory {
  private readonly heldBytes = new Map<MemoryHolder, number>();

  constructor(private readonly budget: ByteBudget) {}

  /** Begins to count what the connection holds. */
  join(holder: MemoryHolder): void {
    this.heldBytes.set(holder, 0);
  }

  /** Releases what the connection still holds. Safe to call twice. */
  leave(holder: MemoryHolder): void {
    this.budget.release(this.heldBytes.get(holder) ?? 0);
    this.heldBytes.delete(holder);
  }

  /**
   * Sets how much a connection holds. Beyond the bound the one that holds the most is given up, so that a
   * faulty peer loses its own connection and not those of others.
   */
  update(holder: MemoryHolder, bytes: number): void {
    const before = this.heldBytes.get(holder);
    if (before === undefined || before === bytes) return;
    this.heldBytes.set(holder, bytes);
    this.budget.add(bytes - before);
    if (bytes > before) this.enforceBound();
  }

  private enforceBound(): void {
    while (this.budget.heldBytes > this.budget.limit) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.budget.countGivenUp('largest');
      this.leave(largest);
      largest.giveUp();
    }
  }

  private findLargest(): MemoryHolder | undefined {
    let largest: MemoryHolder | undefined;
    let most = 0;
    for (const [holder, bytes] of this.heldBytes) {
      if (bytes <= most) continue;
      largest = holder;
      most = bytes;
    }
    return largest;
  }
}
