import { describe, expect, it } from 'vitest';
import { BufferReclaimer } from '../../src/node/buffer-reclaimer.js';

const BOUND_BYTES = 1_000;

/** A reclaimer over buffers as the test says. */
function create({ young = 0, old = 0, held = 0, used = 0 }) {
  const collections: string[] = [];
  const buffers = { young, old };
  const reclaimer = new BufferReclaimer({
    bufferBytes: () => buffers.young + buffers.old + held + used,
    heldBytes: () => held,
    maximumGarbageBytes: BOUND_BYTES,
    collectYoung: () => {
      collections.push('young');
      buffers.young = 0;
    },
    collectAll: () => {
      collections.push('all');
      buffers.young = 0;
      buffers.old = 0;
    },
  });
  return { reclaimer, collections };
}

// Guards against answers that were cut and stay in memory until the heap has grown.
describe('buffers that nobody holds', () => {
  it('are collected once they are over the bound', () => {
    const { reclaimer, collections } = create({ young: BOUND_BYTES + 1 });
    reclaimer.noteAllocated(BOUND_BYTES - 1);
    expect(collections).toEqual([]);
    reclaimer.noteAllocated(1);
    expect(collections).toEqual(['young']);
  });

  it('are collected in the whole heap when those of the young generation are not enough', () => {
    const { reclaimer, collections } = create({ young: 10, old: BOUND_BYTES + 1 });
    reclaimer.noteAllocated(BOUND_BYTES);
    expect(collections).toEqual(['young', 'all']);
  });

  it('cost nothing while buffers are held, or are few', () => {
    const few = create({ young: BOUND_BYTES, held: 100 * BOUND_BYTES });
    for (let count = 0; count < 100; count += 1) few.reclaimer.noteAllocated(BOUND_BYTES);
    expect(few.collections).toEqual([]);
  });

  it('are looked for more and more seldom where buffers are in use that nobody counts', () => {
    const { reclaimer, collections } = create({ used: 10 * BOUND_BYTES });
    for (let count = 0; count < 100; count += 1) reclaimer.noteAllocated(BOUND_BYTES);
    const ofAll = collections.filter((collection) => collection === 'all');
    expect(ofAll.length).toBeLessThan(20);
  });
});
