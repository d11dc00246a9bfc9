import { describe, expect, it, vi } from 'vitest';
import { TrialTurns } from '../../src/quarantine/trial-turns.js';

describe('turns to try a suspected request', () => {
  it('are taken one at a time', () => {
    const turns = new TrialTurns();
    expect(turns.take('f')).toBe(true);
    expect(turns.take('f')).toBe(false);
    expect(turns.take('g')).toBe(true);
    turns.end('f');
    expect(turns.take('f')).toBe(true);
  });

  it('wake those that wait once, at their end or when more is known', () => {
    const turns = new TrialTurns();
    const woken = vi.fn();
    turns.take('f');
    turns.wait('f', woken);
    turns.wake('f');
    turns.end('f');
    expect(woken).toHaveBeenCalledTimes(1);
  });

  it('are still taken after those that wait were woken for news', () => {
    const turns = new TrialTurns();
    turns.take('f');
    turns.wake('f');
    expect(turns.take('f')).toBe(false);
  });

  it('do not wake who does not want to wait any more', () => {
    const turns = new TrialTurns();
    const woken = vi.fn();
    turns.wait('f', woken);
    turns.cancel('f', woken);
    turns.end('f');
    expect(woken).not.toHaveBeenCalled();
  });
});
