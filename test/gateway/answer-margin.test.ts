import { describe, expect, it } from 'vitest';
import { AnswerMargin } from '../../src/gateway/answer-margin.js';

function withLag(lag: number, learns = true): AnswerMargin {
  const margin = new AnswerMargin(learns);
  for (let index = 0; index < 30; index += 1) margin.recordTimerLag(lag);
  return margin;
}

describe('AnswerMargin', () => {
  it('lets an answer leave earlier the later timers run', () => {
    expect(withLag(0).cutOffDelay(140)).toBeGreaterThan(121);
    const late = withLag(15).cutOffDelay(140);
    expect(late).toBeLessThan(109);
    expect(late).toBeGreaterThan(104);
  });

  it('takes at most a part of the target, and forgets what is past', () => {
    expect(withLag(500).cutOffDelay(100)).toBe(70);
    const margin = withLag(500);
    for (let index = 0; index < 600; index += 1) margin.recordTimerLag(1);
    expect(margin.cutOffDelay(100)).toBeGreaterThan(79);
  });

  it('does not learn where that is switched off', () => {
    expect(withLag(500, false).cutOffDelay(100)).toBe(82);
  });
});
