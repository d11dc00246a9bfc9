/**
 * Bounds what the responses of all peers hold together. When the budget is spent, the peer that holds the most
 * loses its largest response, so that a faulty peer doesn't end the requests to others. The bytes of a
 * response count until it is handed on, or until its holder lets go of it.
 */
import type { ResponseHolder } from '../seams/http.js';
import { BlockPool } from './block-pool.js';
import type { ByteBudget } from './byte-budget.js';

/** What one response holds. */
export class ResponseLease {
  /** Bytes that were taken and not released. */
  heldBytes = 0;

  constructor(
    private readonly memory: ResponseMemory,
    readonly peer: string,
    /** Ends the request; has to call {@link ResponseLease.close} before it returns. */
    readonly giveUp: () => void,
  ) {}

  /** Takes bytes, of larger responses if there are no others; says whether it did. */
  take(bytes: number): boolean {
    return this.memory.take(this, bytes);
  }

  release(bytes: number): void {
    this.memory.release(this, bytes);
  }

  /** The response failed, or was handed on to somebody who doesn't keep it. */
  close(): void {
    this.memory.close(this);
  }

  /** The response is whole and can't be given up any more. */
  keepFor(holder: ResponseHolder): void {
    this.memory.settle(this);
    holder.onceReleased(() => this.close());
  }
}

/** The responses that a process receives. */
export class ResponseMemory {
  /** For the bodies. */
  readonly blocks: BlockPool;
  /** Those that can still be given up. */
  private readonly receiving = new Set<ResponseLease>();

  constructor(private readonly budget: ByteBudget) {
    this.blocks = new BlockPool(budget.limit);
  }

  /** Bytes that all responses may hold. */
  get limit(): number {
    return this.budget.limit;
  }

  open(peer: string, giveUp: () => void): ResponseLease {
    const lease = new ResponseLease(this, peer, giveUp);
    this.receiving.add(lease);
    return lease;
  }

  take(lease: ResponseLease, bytes: number): boolean {
    while (!this.budget.take(bytes)) {
      const victim = this.canMakeRoom(bytes) ? this.largest(lease, bytes) : lease;
      if (victim === lease) return false;
      victim.giveUp();
    }
    lease.heldBytes += bytes;
    return true;
  }

  release(lease: ResponseLease, bytes: number): void {
    lease.heldBytes -= bytes;
    this.budget.release(bytes);
  }

  settle(lease: ResponseLease): void {
    this.receiving.delete(lease);
  }

  close(lease: ResponseLease): void {
    this.settle(lease);
    this.release(lease, lease.heldBytes);
  }

  /** Whether there is room for `bytes` once everything that can be given up is. */
  private canMakeRoom(bytes: number): boolean {
    let kept = this.budget.heldBytes;
    for (const { heldBytes } of this.receiving) kept -= heldBytes;
    return kept + bytes <= this.budget.limit;
  }

  /** The largest response of the peer that holds the most, with `bytes` that `taker` is about to take. */
  private largest(taker: ResponseLease, bytes: number): ResponseLease {
    const held = (lease: ResponseLease): number =>
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
