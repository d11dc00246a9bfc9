/**
 * Bounds what all peers together make a process hold of what they send. When the budget is spent, the peer that
 * holds the most loses its largest transfer, so that a faulty peer doesn't end those of others. The bytes
 * of a transfer count until it is handed on, or until its holder lets go of it.
 */
import type { ResponseHolder } from '../seams/http.js';
import { BlockPool } from './block-pool.js';
import type { ByteBudget } from './byte-budget.js';

/** What one transfer holds: a response, or the body of a request. */
export class ReceiveLease {
  /** Bytes that were taken and not released. */
  heldBytes = 0;

  constructor(
    private readonly memory: ReceiveMemory,
    readonly peer: string,
    /** Ends the transfer; has to call {@link ReceiveLease.close} before it returns. */
    readonly giveUp: () => void,
  ) {}

  /** Takes bytes, of larger transfers if there are no others; says whether it did. */
  take(bytes: number): boolean {
    return this.memory.take(this, bytes);
  }

  release(bytes: number): void {
    this.memory.release(this, bytes);
  }

  /** The transfer failed, or was handed on to somebody who doesn't keep it. */
  close(): void {
    this.memory.close(this);
  }

  /** It is whole and can't be given up any more. */
  settle(): void {
    this.memory.settle(this);
  }

  /** The response is whole; it is held until `holder` lets go of it. */
  keepFor(holder: ResponseHolder): void {
    this.settle();
    holder.onceReleased(() => this.close());
  }
}

/** The transfers of one kind of a process. */
export class ReceiveMemory {
  /** Those that can still be given up. */
  private readonly receiving = new Set<ReceiveLease>();

  constructor(
    private readonly budget: ByteBudget,
    /** For the bodies. */
    readonly blocks = new BlockPool(budget),
  ) {}

  /** Bytes that all of them may hold. */
  get limit(): number {
    return this.budget.limit;
  }

  open(peer: string, giveUp: () => void): ReceiveLease {
    const lease = new ReceiveLease(this, peer, giveUp);
    this.receiving.add(lease);
    return lease;
  }

  take(lease: ReceiveLease, bytes: number): boolean {
    while (!this.budget.take(bytes)) {
      const victim = this.canMakeRoom(bytes) ? this.largest(lease, bytes) : lease;
      this.budget.countGivenUp(victim === lease ? 'no_room' : 'largest');
      if (victim === lease) return false;
      victim.giveUp();
    }
    lease.heldBytes += bytes;
    return true;
  }

  release(lease: ReceiveLease, bytes: number): void {
    lease.heldBytes -= bytes;
    this.budget.release(bytes);
  }

  settle(lease: ReceiveLease): void {
    this.receiving.delete(lease);
  }

  close(lease: ReceiveLease): void {
    this.settle(lease);
    this.release(lease, lease.heldBytes);
  }

  /** Whether there is room for `bytes` once everything that can be given up is. */
  private canMakeRoom(bytes: number): boolean {
    let releasable = 0;
    for (const { heldBytes } of this.receiving) releasable += heldBytes;
    return this.budget.shortfall(bytes) <= releasable;
  }

  /** The largest transfer of the peer that holds the most, with `bytes` that `taker` is about to take. */
  private largest(taker: ReceiveLease, bytes: number): ReceiveLease {
    const held = (lease: ReceiveLease): number =>
      lease === taker ? lease.heldBytes + bytes : lease.heldBytes;
    const byPeer = new Map<string, number>();
    for (const lease of this.receiving) {
      byPeer.set(lease.peer, (byPeer.get(lease.peer) ?? 0) + held(lease));
    }
    const most = Math.max(...byPeer.values());
    let largest = taker;
    for (const lease of this.receiving) {
      if (byPeer.get(lease.peer) !== most) continue;
      if (largest.peer !== lease.peer || held(lease) > held(largest)) largest = lease;
    }
    return largest;
  }
}
