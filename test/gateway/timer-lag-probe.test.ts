import { describe, expect, it } from 'vitest';
import { AnswerMargin } from '../../src/gateway/answer-margin.js';
import { measureTimerLag } from '../../src/gateway/timer-lag-probe.js';
import { ManualClock } from '../support/manual-clock.js';

const TARGET_MS = 55;

/** A clock whose timers fire late by `lagMs`. */
class LaggingClock extends ManualClock {
  lagMs = 0;

  override setTimer(
    milliseconds: number,
    callback: () => void,
  ): ReturnType<ManualClock['setTimer']> {
    return super.setTimer(milliseconds + this.lagMs, callback);
  }
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 5) {
    clock.advance(5);
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  }
}

// Guards against answers that are cut off at half of their target for as long as all goes well, because
// only timers of late requests told the lag, and the last ones were those of an overload.
describe('the margin of a gateway without late requests', () => {
  it('is small again a few seconds after timers have ceased to lag', async () => {
    const clock = new LaggingClock();
    const margin = new AnswerMargin(true);
    const stopped = new AbortController();
    const probe = measureTimerLag(clock, margin, stopped.signal);
    const calm = margin.cutOffDelay(TARGET_MS);
    clock.lagMs = 80;
    await pass(clock, 5_000);
    expect(margin.cutOffDelay(TARGET_MS)).toBeLessThan(calm - 5);
    clock.lagMs = 0;
    await pass(clock, 5_000);
    expect(margin.cutOffDelay(TARGET_MS)).toBeGreaterThan(calm - 1);
    stopped.abort(new Error('stopped'));
    await probe;
  });
});
