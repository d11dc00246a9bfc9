import { describe, expect, it } from 'vitest';
import { AnswerMargin } from '../../src/gateway/answer-margin.js';

function withLag(lag: number, learns = true): AnswerMargin {
  const margin = new AnswerMargin(learns);
  for (let index = 0; index < 30; index += 1) margin.recordTimerLag(lag);
  return margin;
}

describe('AnswerMargin', () => {
  it('sends an answer earlier as timer lag grows', () => {
    expect(withLag(0).cutOffDelay(140)).toBeGreaterThan(121);
    const late = withLag(15).cutOffDelay(140);
    expect(late).toBeLessThan(109);
    expect(late).toBeGreaterThan(104);
  });

  it('is bounded by a fraction of the target, and shrinks once timer lag has decreased', () => {
    expect(withLag(500).cutOffDelay(100)).toBe(50);
    const margin = withLag(500);
    for (let index = 0; index < 600; index += 1) margin.recordTimerLag(1);
    expect(margin.cutOffDelay(100)).toBeGreaterThan(79);
  });

  it('leaves room for the lag of a busy gateway also where the target is short', () => {
    const target = 55;
    const idle = withLag(0).cutOffDelay(target);
    expect(target - idle).toBeGreaterThanOrEqual(18);
    expect(idle - withLag(8).cutOffDelay(target)).toBeGreaterThan(7);
  });

  it('ignores timer lag if learning is disabled', () => {
    expect(withLag(500, false).cutOffDelay(100)).toBe(82);
  });

  // Guards against leaves that report before replicas can have answered, because of rare pauses.
  it('takes rare pauses into account for an answer, but not for its parts', () => {
    const margin = new AnswerMargin(true);
    for (let index = 0; index < 60; index += 1) margin.recordTimerLag(index % 5 === 0 ? 20 : 0);
    expect(margin.lag).toBeGreaterThan(19);
    expect(margin.typicalLag).toBeLessThan(1);
  });

  it('has the lag of a gateway that always lags as its typical lag', () => {
    expect(withLag(80).typicalLag).toBeGreaterThan(75);
  });
});
