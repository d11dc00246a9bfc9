import { describe, expect, it } from 'vitest';
import { sleepUntilTick } from '../../src/seams/sleep-until-tick.js';
import { ManualClock } from '../support/manual-clock.js';

const STEP_MS = 5;

/** Lets the clock run and notes the moments at which tasks woke up. */
class Tasks {
  readonly clock = new ManualClock();
  readonly moments = new Set<number>();
  private readonly stopped = new AbortController();

  start(intervalMs: number): void {
    void this.run(intervalMs);
  }

  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
    }
  }

  private async run(intervalMs: number): Promise<void> {
    for (;;) {
      await sleepUntilTick(this.clock, intervalMs, this.stopped.signal);
      this.moments.add(this.clock.now());
    }
  }
}

// Guards against a process that each of its periodic tasks wakes up by itself.
describe('periodic tasks that began at different moments', () => {
  it('wake the process up together', async () => {
    const tasks = new Tasks();
    tasks.start(250);
    await tasks.pass(70);
    tasks.start(250);
    await tasks.pass(55);
    tasks.start(500);
    await tasks.pass(1_000);
    tasks.moments.clear();
    await tasks.pass(10_000);
    expect(tasks.moments.size).toBe(40);
  });

  it('wake up once although a timer fired a little early', async () => {
    const tasks = new Tasks();
    tasks.clock.advance(995);
    tasks.start(250);
    await tasks.pass(100);
    expect(tasks.moments.size).toBe(0);
  });
});
