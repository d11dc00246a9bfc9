import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { ParsingTurns } from '../../src/node/parsing-turns.js';

/** More chunks than a turn has room for. */
const MANY_SMALL_CHUNKS = Buffer.from('1\r\nz\r\n'.repeat(1_000));
const FEW_LARGE_CHUNKS = Buffer.from(`ff00\r\n${'z'.repeat(0xff00)}\r\n`);

// Guards against a turn of the event loop that lasts for as long as callers have sent small chunks.
describe('turns of parsing', () => {
  it('have no room after many small chunks until the event loop has turned', async () => {
    const turns = new ParsingTurns();
    turns.count(FEW_LARGE_CHUNKS);
    expect(turns.hasRoom).toBe(true);
    turns.count(MANY_SMALL_CHUNKS);
    expect(turns.hasRoom).toBe(false);
    await nextTurn();
    expect(turns.hasRoom).toBe(true);
  });

  it('come to those that wait one after the other, the longest first', async () => {
    const turns = new ParsingTurns();
    const order: string[] = [];
    const parse = (name: string): void => {
      order.push(name);
      turns.count(MANY_SMALL_CHUNKS);
    };
    turns.count(MANY_SMALL_CHUNKS);
    turns.wait(() => parse('first'));
    turns.wait(() => parse('second'));
    await nextTurn();
    expect(order).toEqual(['first']);
    await nextTurn();
    expect(order).toEqual(['first', 'second']);
  });

  it('do not come to what was cancelled', async () => {
    const turns = new ParsingTurns();
    let isParsed = false;
    const parse = (): void => void (isParsed = true);
    turns.wait(parse);
    turns.cancel(parse);
    await nextTurn();
    await nextTurn();
    expect(isParsed).toBe(false);
  });
});
