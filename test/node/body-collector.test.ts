import { describe, expect, it } from 'vitest';
import { BLOCK_BYTES, BlockPool } from '../../src/node/block-pool.js';
import { BodyCollector } from '../../src/node/body-collector.js';
import { ByteBudget } from '../../src/node/byte-budget.js';

const READ_BYTES = 64 * 1024;
const LIMIT_BYTES = 1024 * 1024;

/** Bytes `from` to `to` of a read that fills its memory. */
function part(from: number, to: number, value = 'a'): Buffer {
  return Buffer.alloc(READ_BYTES, value).subarray(from, to);
}

function create(): { body: BodyCollector; budget: ByteBudget; pool: BlockPool } {
  const budget = new ByteBudget(LIMIT_BYTES);
  const pool = new BlockPool(budget);
  return { body: new BodyCollector(budget, pool), budget, pool };
}

describe('a body in parts', () => {
  // Guards against a byte that holds the 64 KiB that it was read with.
  it('of one byte each holds no more than twice its size and a block', () => {
    const { body, budget } = create();
    const read = part(0, READ_BYTES);
    for (let index = 0; index < 10_000; index += 1) body.add(read.subarray(index, index + 1));
    expect(budget.heldBytes).toBeGreaterThanOrEqual(10_000);
    expect(budget.heldBytes).toBeLessThanOrEqual(2 * 10_000 + 1_024);
    const whole = body.finish();
    expect(whole.equals(Buffer.alloc(10_000, 'a'))).toBe(true);
    expect(whole.buffer.byteLength).toBe(10_000);
    expect(budget.heldBytes).toBe(10_000);
  });

  it('is whole whatever the sizes of its parts', () => {
    const sizes = [1, READ_BYTES, 3, 70, READ_BYTES - 1, 5_000, 1];
    const { body, pool, budget } = create();
    const parts = sizes.map((size, index) => part(0, size, String(index)));
    for (const each of parts) expect(body.add(each)).toBe(true);
    expect(body.finish().equals(Buffer.concat(parts))).toBe(true);
    // A block that is used again shows nothing of the body before.
    const next = new BodyCollector(budget, pool);
    for (const each of [...parts].reverse()) next.add(each);
    expect(next.finish().equals(Buffer.concat([...parts].reverse()))).toBe(true);
  });

  // Guards against memory that is given to another body while this one still refers to it.
  it.each([READ_BYTES, BLOCK_BYTES, BLOCK_BYTES - 512, 2 * BLOCK_BYTES])(
    'of %i bytes stays as it is when others follow',
    (size) => {
      const { body, pool, budget } = create();
      body.add(Buffer.alloc(size, 'a'));
      const whole = body.finish();
      for (let count = 0; count < 4; count += 1) {
        const other = new BodyCollector(budget, pool);
        other.add(part(0, 1, 'b'));
        other.add(part(0, READ_BYTES, 'b'));
        other.add(part(0, READ_BYTES, 'b'));
        other.release();
      }
      expect(whole.equals(Buffer.alloc(size, 'a'))).toBe(true);
    },
  );

  // Guards against free blocks beside a full budget: together they would be twice what is allowed.
  it('leaves no more free blocks than there is room for', () => {
    const { body, budget, pool } = create();
    for (let count = 0; count < 8; count += 1) body.add(part(0, READ_BYTES - 5_000));
    body.release();
    const kept = pool.take();
    pool.give(kept);
    budget.add(LIMIT_BYTES);
    pool.trim();
    expect(pool.take()).not.toBe(kept);
  });

  it('that finds no room tells so, and holds nothing once it is released', () => {
    const { body, budget } = create();
    let isAdded = true;
    for (let count = 0; isAdded && count < 100; count += 1) isAdded = body.add(part(0, READ_BYTES));
    expect(isAdded).toBe(false);
    body.release();
    expect(budget.heldBytes).toBe(0);
  });
});
