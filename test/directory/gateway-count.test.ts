/*
 * Guards against gateways that spend the whole fleet's connections and second sends each after all
 * controllers have started anew: a controller that had just started counted no gateway, or few.
 */
import { describe, expect, it } from 'vitest';
import { GATEWAY_RETENTION_MS } from '../../src/directory/directory-timing.js';
import { GatewayCount } from '../../src/directory/gateway-count.js';
import { ManualClock } from '../support/manual-clock.js';

function createCount() {
  const clock = new ManualClock();
  const reported: number[] = [];
  const count = new GatewayCount(clock, () => reported);
  const report = (...counts: number[]): number | undefined => {
    reported.splice(0, reported.length, ...counts);
    count.update();
    return count.current;
  };
  return { clock, count, report };
}

describe('the count of gateways', () => {
  it('is the highest that a followed controller reports', () => {
    const { report } = createCount();
    expect(report()).toBeUndefined();
    expect(report(3, 5)).toBe(5);
    expect(report(9, 5)).toBe(9);
  });

  it('stays when controllers that have just started count fewer', () => {
    const { clock, report } = createCount();
    report(59, 59);
    report();
    clock.advance(4 * GATEWAY_RETENTION_MS);
    expect(report(0)).toBe(59);
    clock.advance(GATEWAY_RETENTION_MS - 1);
    expect(report(7, 2)).toBe(59);
  });

  it('falls when fewer have been reported for the retention', () => {
    const { clock, report } = createCount();
    report(59);
    report(20);
    clock.advance(GATEWAY_RETENTION_MS);
    expect(report(20)).toBe(20);
  });

  it('does not fall while one controller still reports it', () => {
    const { clock, report } = createCount();
    for (let second = 0; second < 60; second += 1) {
      clock.advance(1_000);
      expect(report(59, 1)).toBe(59);
    }
  });
});
