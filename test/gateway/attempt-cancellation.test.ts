import { describe, expect, it } from 'vitest';
import { AttemptCancellation } from '../../src/gateway/attempt-cancellation.js';

describe('the cancellation of an attempt', () => {
  it('tells its listeners once, with the reason of the first call', () => {
    const cancellation = new AttemptCancellation();
    const reasons: unknown[] = [];
    cancellation.addEventListener('abort', () => reasons.push(cancellation.reason));
    cancellation.abort('late');
    cancellation.abort('later');
    expect(reasons).toEqual(['late']);
    expect(cancellation.aborted).toBe(true);
  });

  it('tells no listener that was removed, or that came after it', () => {
    const cancellation = new AttemptCancellation();
    let calls = 0;
    const listener = (): void => void (calls += 1);
    cancellation.addEventListener('abort', listener);
    cancellation.removeEventListener('abort', listener);
    cancellation.abort('late');
    cancellation.addEventListener('abort', listener);
    expect(calls).toBe(0);
  });

  it('goes on when a listener removes itself', () => {
    const cancellation = new AttemptCancellation();
    const told: string[] = [];
    const first = (): void => {
      told.push('first');
      cancellation.removeEventListener('abort', first);
    };
    cancellation.addEventListener('abort', first);
    cancellation.addEventListener('abort', () => told.push('second'));
    cancellation.abort('late');
    expect(told).toEqual(['first', 'second']);
  });
});
