import { describe, expect, it } from 'vitest';
import { TransitDelay } from '../../src/aggregation/transit-delay.js';

/** The receiver's clock minus the sender's; of no meaning by itself. Milliseconds. */
const OFFSET_MS = -5_000;

describe('TransitDelay', () => {
  it('returns the time beyond the shortest one, whatever the clocks differ by', () => {
    const delay = new TransitDelay();
    expect(delay.record(10_000, 10_003 + OFFSET_MS)).toBe(0);
    expect(delay.record(10_100, 10_901 + OFFSET_MS)).toBe(798);
    expect(delay.record(11_000, 11_002 + OFFSET_MS)).toBe(0);
    expect(delay.record(11_100, 11_103 + OFFSET_MS)).toBe(1);
  });

  it('forgets a base of clocks that one of them has left by a jump', () => {
    const delay = new TransitDelay();
    for (let at = 0; at < 15_000; at += 1_000) delay.record(at, at);
    const jumpMs = 3_000;
    expect(delay.record(15_000, 15_000 + jumpMs)).toBe(jumpMs);
    let last = jumpMs;
    for (let at = 16_000; at < 45_000; at += 1_000) last = delay.record(at, at + jumpMs);
    expect(last).toBe(0);
  });

  it('keeps the base across two windows of messages, and measures anew after a pause', () => {
    const delay = new TransitDelay();
    delay.record(0, 5);
    expect(delay.record(11_000, 11_055)).toBe(50);
    expect(delay.record(60_000, 60_055)).toBe(0);
  });
});
