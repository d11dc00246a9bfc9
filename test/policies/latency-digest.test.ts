import { describe, expect, it } from 'vitest';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import { LatencyDigest } from '../../src/policies/latency-digest.js';

/** Bound of the relative error that the bucket width allows. */
const RELATIVE_ERROR = 0.06;

function exponential(mean: number, random: PureRandomSource): number {
  return -mean * Math.log(1 - random.nextFloat());
}

describe('LatencyDigest', () => {
  it('estimates quantiles of the added latencies', () => {
    const digest = new LatencyDigest(10_000);
    for (let latency = 1; latency <= 1_000; latency += 1) digest.addReply(latency);
    for (const quantile of [0.5, 0.9, 0.99]) {
      const relative = digest.quantile(quantile) / (1_000 * quantile);
      expect(Math.abs(relative - 1)).toBeLessThan(RELATIVE_ERROR);
    }
  });

  it('estimates quantiles without bias when slow attempts are cancelled before their reply', () => {
    const random = new PureRandomSource(7);
    const digest = new LatencyDigest(100_000);
    for (let sample = 0; sample < 20_000; sample += 1) {
      const latency = exponential(20, random);
      const timeout = exponential(40, random);
      if (latency <= timeout) digest.addReply(latency);
      else digest.addUnfinished(timeout);
    }
    const expected = -20 * Math.log(1 - 0.9);
    expect(Math.abs(digest.quantile(0.9) / expected - 1)).toBeLessThan(2 * RELATIVE_ERROR);
  });

  it('follows a change of latency within two windows', () => {
    const digest = new LatencyDigest(200);
    for (let sample = 0; sample < 10_000; sample += 1) digest.addReply(10);
    for (let sample = 0; sample < 400; sample += 1) digest.addReply(100);
    expect(digest.quantile(0.5)).toBeGreaterThan(90);
  });

  it('gives the probability that a pending reply arrives within a wait', () => {
    const digest = new LatencyDigest(10_000);
    for (let latency = 1; latency <= 1_000; latency += 1) digest.addReply(latency);
    expect(digest.chanceOfReply(500, 250)).toBeCloseTo(0.5, 1);
    expect(digest.chanceOfReply(2_000, 100)).toBe(0);
  });
});
