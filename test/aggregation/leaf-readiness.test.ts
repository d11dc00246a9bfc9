import { expect, it } from 'vitest';
import { LeafReadiness, YOUNG_MS } from '../../src/aggregation/leaf-readiness.js';
import { ManualClock } from '../support/manual-clock.js';

const SHARDS = ['a', 'b'];
const RANDOM = { nextFloat: () => 0, nextInteger: () => 0, nextIdentifier: () => '' };

class Waiting {
  readonly clock = new ManualClock();
  isReady = false;
  readonly readiness = new LeafReadiness(this.clock, RANDOM, () => this.isReady);
  let: string[] = [];

  begin(name: string, longestMs: number): void {
    void this.readiness.wait(SHARDS, longestMs).then(() => this.let.push(name));
  }

  async settled(): Promise<readonly string[]> {
    await Promise.resolve();
    await Promise.resolve();
    return this.let;
  }
}

it('lets requests go once leaves are connected, each after its own time at the latest', async () => {
  const waiting = new Waiting();
  waiting.begin('short', 50);
  waiting.begin('long', 400);
  waiting.clock.advance(60);
  waiting.readiness.check();
  expect(await waiting.settled()).toEqual(['short']);
  waiting.isReady = true;
  waiting.readiness.check();
  expect(await waiting.settled()).toEqual(['short', 'long']);
});

it('holds nothing where leaves are connected, time is up, or the gateway is not young', async () => {
  const waiting = new Waiting();
  waiting.begin('no time', 0);
  waiting.isReady = true;
  waiting.begin('connected', 400);
  waiting.isReady = false;
  waiting.clock.advance(YOUNG_MS);
  waiting.begin('old', 400);
  expect(await waiting.settled()).toEqual(['no time', 'connected', 'old']);
});
