import { describe, expect, it } from 'vitest';
import { GrantDelay } from '../../src/aggregation/grant-delay.js';

describe('the time that grants take', () => {
  it('is not known from few of them', () => {
    const delay = new GrantDelay();
    for (let count = 0; count < 7; count += 1) delay.record(2);
    expect(delay.typical).toBeUndefined();
  });

  it('follows the latest ones', () => {
    const delay = new GrantDelay();
    for (let count = 0; count < 40; count += 1) delay.record(2);
    expect(delay.typical).toBe(2);
    for (let count = 0; count < 40; count += 1) delay.record(30);
    expect(delay.typical).toBe(30);
  });
});
