import { describe, expect, it } from 'vitest';
import { ByteBudget } from '../../src/node/byte-budget.js';
import { ReceiveMemory, type ReceiveLease } from '../../src/node/receive-memory.js';

const LIMIT_BYTES = 1_000;

class MemoryFixture {
  readonly budget = new ByteBudget(LIMIT_BYTES);
  readonly memory = new ReceiveMemory(this.budget);
  readonly givenUp: string[] = [];

  /** A response of `peer` that holds `bytes`. */
  open(name: string, peer: string, bytes: number): ReceiveLease {
    const lease: ReceiveLease = this.memory.open(peer, () => {
      this.givenUp.push(name);
      lease.close();
    });
    lease.take(bytes);
    return lease;
  }
}

/** Somebody who keeps responses until {@link release} is called. */
class Keeper {
  release: () => void = () => undefined;

  onceReleased(callback: () => void): void {
    this.release = callback;
  }
}

describe('memory for responses', () => {
  // Guards against giving up a response that is legitimately large, for many small ones of a faulty peer.
  it('is taken from the largest response of the peer that holds the most', () => {
    const fixture = new MemoryFixture();
    const large = fixture.open('large', 'healthy', 300);
    fixture.open('first', 'faulty', 200);
    fixture.open('second', 'faulty', 400);
    expect(large.take(150)).toBe(true);
    expect(fixture.givenUp).toEqual(['second']);
    expect([...fixture.budget.givenUp]).toEqual([['largest', 1]]);
  });

  it('is refused to the response that would itself be the one to give up', () => {
    const fixture = new MemoryFixture();
    fixture.open('small', 'healthy', 100);
    const faulty = fixture.open('endless', 'faulty', 800);
    expect(faulty.take(101)).toBe(false);
    expect([...fixture.budget.givenUp]).toEqual([['no_room', 1]]);
    expect(fixture.givenUp).toEqual([]);
    expect(fixture.budget.heldBytes).toBe(900);
  });

  // Guards against ending requests where that makes no room.
  it('is refused at once where responses that are kept hold too much of it', () => {
    const fixture = new MemoryFixture();
    fixture.open('kept', 'a', 850).keepFor(new Keeper());
    fixture.open('small', 'b', 100);
    expect(fixture.open('newcomer', 'c', 0).take(200)).toBe(false);
    expect(fixture.givenUp).toEqual([]);
  });

  it('is held by a response that is whole until nobody keeps it', () => {
    const fixture = new MemoryFixture();
    const keeper = new Keeper();
    fixture.open('kept', 'a', 300).keepFor(keeper);
    expect(fixture.budget.heldBytes).toBe(300);
    keeper.release();
    expect(fixture.budget.heldBytes).toBe(0);
  });
});
