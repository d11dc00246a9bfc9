import { describe, expect, it } from 'vitest';
import { ByteBudget } from '../../src/node/byte-budget.js';
import { ParserMemory } from '../../src/node/parser-memory.js';

const START_BYTES = 1_000;
const HEAD = [Buffer.from('content-type'), Buffer.from('text/plain')];
const HEAD_BYTES = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n'.length;

function create(limit = 1_000_000): { parser: ParserMemory; budget: ByteBudget } {
  const budget = new ByteBudget(limit);
  return { parser: new ParserMemory(budget, START_BYTES), budget };
}

describe('memory of a parser', () => {
  it('is none for a head and a body that were handed on', () => {
    const { parser, budget } = create();
    parser.acceptHead(HEAD);
    parser.acceptPart(5_000);
    parser.update(START_BYTES + HEAD_BYTES + 5_000);
    expect(budget.heldBytes).toBe(0);
  });

  it.each([1, 15, 16, 4_095, 65_536])('is none for many chunks of %i bytes', (length) => {
    const { parser, budget } = create();
    const chunkBytes = `${length.toString(16)}\r\n`.length + length + 2;
    parser.acceptHead(HEAD);
    for (let count = 0; count < 1_000; count += 1) parser.acceptPart(length);
    parser.update(START_BYTES + HEAD_BYTES + 1_000 * chunkBytes);
    expect(budget.heldBytes).toBe(0);
  });

  // Guards against lines of four bytes that take a hundred times as much on the heap.
  it('grows with the lines of a head or trailer, until it is handed on', () => {
    const { parser, budget } = create(2_000_000);
    parser.update(START_BYTES + 16_000);
    expect(budget.heldBytes).toBeGreaterThan(16_000 * 50);
    parser.acceptHead(Array.from({ length: 8_000 }, () => Buffer.alloc(0)));
    parser.update(START_BYTES + 16_000);
    expect(budget.heldBytes).toBe(0);
  });

  it('that finds no room tells so, and holds nothing once it is released', () => {
    const { parser, budget } = create(500_000);
    expect(parser.update(START_BYTES + 4_000)).toBe(true);
    expect(parser.update(START_BYTES + 16_000)).toBe(false);
    parser.release();
    expect(budget.heldBytes).toBe(0);
  });
});
